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

/** State shared by the items of one batch; lives until its last item is answered. */
struct Query {
    wire::QueryNumber number;
    Home::Origin origin = 0;
    /** The batch without its items, or the submit. */
    std::variant<wire::SubrequestBatch, wire::SubmitRequest> message;
    Home::ReplyHandler onReply;
    /** Answers to be delivered in the next run of the event loop. */
    std::vector<wire::SubreplyItem> ready;
};

/** One item from its arrival until it is answered and its slot at the upstream is released. */
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
    /** Value of X-Request-Id; unique, since the sequence is unique within the origin. */
    std::string id() const;
};

/**
 * Stores the requests of one traffic thread and delivers their answers. Answers are delivered from the event
 * loop; those of one query that are ready together share one batch.
 */
class RequestTable {
public:
    explicit RequestTable(boost::asio::io_context& ioContext)
        : ioContext_(ioContext)
    {
    }

    RequestHandle add(Request request);
    Request& at(RequestHandle handle) { return requests_[handle]; }
    /** Counts and delivers the answer after filling in sequence, upstream and elapsed time. Does nothing if
     * the request is already answered. */
    void answer(RequestHandle handle, wire::SubreplyItem item, TimePoint now);
    /** Counts and delivers an answer as it is, also for an item that has no entry in the table. */
    void deliver(const std::shared_ptr<Query>& query, wire::SubreplyItem item);
    /** Removes the request; an unanswered request gets no answer. */
    void release(RequestHandle handle);

    template <typename Function> void forEach(Function function)
    {
        for (std::size_t handle = 0; handle < requests_.size(); ++handle) {
            if (requests_[handle].state != Request::State::Free)
                function(static_cast<RequestHandle>(handle), requests_[handle]);
        }
    }

    Counters& counters() { return counters_; }
    const Counters& counters() const { return counters_; }

private:
    boost::asio::io_context& ioContext_;
    std::deque<Request> requests_;
    std::vector<RequestHandle> free_;
    Counters counters_;
    /** Expires with the table, so that no answer is delivered after its destruction. */
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace banyancroft::home
