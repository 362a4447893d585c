#include "request_table.h"

#include "upstream_driver.h"

#include <boost/asio/post.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace banyancroft::home {

std::string Request::id() const
{
    std::array<char, 40> text {};
    char* end = std::to_chars(text.data(), text.data() + 16, query->origin, 16).ptr;
    *end++ = '-';
    end = std::to_chars(end, end + 16, sequence.value, 16).ptr;
    return { text.data(), end };
}

RequestHandle RequestTable::add(Request request)
{
    if (free_.empty()) {
        requests_.push_back(std::move(request));
        return static_cast<RequestHandle>(requests_.size() - 1);
    }
    const RequestHandle handle = free_.back();
    free_.pop_back();
    requests_[handle] = std::move(request);
    return handle;
}

void RequestTable::answer(RequestHandle handle, wire::SubreplyItem item, TimePoint now)
{
    Request& request = requests_[handle];
    if (request.answered)
        return;
    request.answered = true;
    item.sequence = request.sequence;
    item.upstream = request.driver->id();
    item.elapsedMicros = static_cast<std::uint64_t>(toMicros(now - request.accepted));
    deliver(request.query, std::move(item));
}

void RequestTable::deliver(const std::shared_ptr<Query>& query, wire::SubreplyItem item)
{
    switch (item.outcome) {
    case Outcome::Done:
        ++counters_.done;
        break;
    case Outcome::NotRun:
        ++counters_.notRun;
        break;
    case Outcome::Unknown:
        ++counters_.unknown;
        break;
    }
    query->ready.push_back(std::move(item));
    if (query->ready.size() > 1)
        return;
    boost::asio::post(ioContext_, [query, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired())
            query->onReply(wire::SubreplyBatch { query->number, std::exchange(query->ready, {}) });
    });
}

void RequestTable::release(RequestHandle handle)
{
    requests_[handle] = Request {};
    free_.push_back(handle);
}

} // namespace banyancroft::home
