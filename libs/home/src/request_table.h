#pragma once

#include "admission/upstream_admission.h"
#include "home/home.h"
#include "wire/messages.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace banyancroft::home {

class UpstreamDriver;
using admission::RequestHandle;

/** What the items of one batch share; lives until its last item is answered. */
struct Query {
    wire::QueryNumber number;
    Home::Origin origin = 0;
    /** The batch without its items, or the submit. */
    std::variant<wire::SubrequestBatch, wire::SubmitRequest> message;
    Home::ReplyHandler onReply;
    /** Answers that wait for the next run of the event loop. */
    std::vector<wire::SubreplyItem> ready;
};

/** One item from its arrival until it is answered and its slot at the upstream is free again. */
struct Request {
    enum class State : std::uint8_t { Free, Queued, Running };

    State state = State::Free;
    bool answered = false;
    std::shared_ptr<Query> query;
    wire::SequenceNumber sequence;
    std::vector<ShardId> shards;
    UpstreamDriver* driver = nullptr;
    TimePoint accepted {};
    TimePoint deadline {};

    bool isSubmit() const { return std::holds_alternative<wire::SubmitRequest>(query->message); }
    /** Name of the request at the upstream; unique as the sequence is unique within the origin. */
    std::string id() const;
};

/**
 * The requests of one traffic thread. Answers are handed out from the event loop, those of one query that
 * are ready together in one batch.
 */
class RequestTable {
public:
    explicit RequestTable(boost::asio::io_context& ioContext)
        : ioContext_(ioContext)
    {
    }

    RequestHandle add(Request request);
    Request& at(RequestHandle work) { return requests_[work]; }
    /** Counts and hands out the answer; sequence, upstream and elapsed time are filled in here. */
    void answer(RequestHandle work, wire::SubreplyItem item, TimePoint now);
    /** Hands out the answer of an item that has no request. */
    void deliver(const std::shared_ptr<Query>& query, wire::SubreplyItem item);
    /** Ends the request without an answer when it has none yet. */
    void release(RequestHandle work);

    template <typename Function> void forEach(Function function)
    {
        for (std::size_t work = 0; work < requests_.size(); ++work) {
            if (requests_[work].state != Request::State::Free)
                function(static_cast<RequestHandle>(work), requests_[work]);
        }
    }

    Counters& counters() { return counters_; }
    const Counters& counters() const { return counters_; }

private:
    boost::asio::io_context& ioContext_;
    std::deque<Request> requests_;
    std::vector<RequestHandle> free_;
    Counters counters_;
    /** Expires with the table, so that no answer is handed out after it. */
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace banyancroft::home
