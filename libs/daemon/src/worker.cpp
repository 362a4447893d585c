#include "worker.h"

#include "hop_spans.h"

#include <boost/asio/post.hpp>

#include <xxhash.h>

namespace banyancroft::daemon {

namespace {

// Each traffic thread numbers its queries in a range of 2^48, so that those of one daemon do not collide at a
// home.
constexpr unsigned queryNumberBits = 48;

bool isControlMessage(const wire::Message& message)
{
    return std::holds_alternative<wire::Digest>(message)
        || std::holds_alternative<wire::StateRequest>(message)
        || std::holds_alternative<wire::StateReply>(message)
        || std::holds_alternative<wire::PromiseRequest>(message)
        || std::holds_alternative<wire::Promise>(message);
}

} // namespace

Worker::Worker(std::size_t index, const wire::Hello& hello, std::string ownAddress, std::uint64_t seed,
    HttpLimits limits, EntryMetrics metrics, telemetry::TraceRing& traces, Hooks hooks)
    : workGuard_(boost::asio::make_work_guard(ioContext_))
    , index_(index)
    , ownAddress_(std::move(ownAddress))
    , hooks_(std::move(hooks))
    , traces_(traces)
    , random_(~seed)
    , home_(ioContext_)
    , network_(ioContext_, hello,
          { [this](const std::string& address, wire::Message message) {
               if (auto* replies = std::get_if<wire::SubreplyBatch>(&message))
                   entry_.onReply(std::move(*replies));
               else if (isControlMessage(message))
                   hooks_.onControlMessage(address, std::move(message));
           },
              [this](const std::string& address, bool established) {
                  entry_.onHomeDisconnected(address, established);
              } })
    , entry_(ioContext_, hello.zone, seed, (static_cast<std::uint64_t>(index) + 1) << queryNumberBits,
          metrics,
          { [] { return BootClock::now(); },
              [this](const std::string& address, wire::Message message) {
                  sendToHome(address, std::move(message));
              },
              hooks_.claim })
    , http_(ioContext_, limits, hooks_.onHttp)
{
}

Worker::~Worker() { stop(); }

void Worker::start()
{
    thread_ = std::thread([this] { ioContext_.run(); });
}

void Worker::stop()
{
    if (!thread_.joinable())
        return;
    post([this] { ioContext_.stop(); });
    thread_.join();
}

void Worker::post(std::function<void()> function) { boost::asio::post(ioContext_, std::move(function)); }

Worker& Worker::ownerOf(const UpstreamId& upstream)
{
    const auto text = upstream.view();
    return *workers_[XXH3_64bits(text.data(), text.size()) % workers_.size()];
}

void Worker::sendToHome(const std::string& address, wire::Message message)
{
    if (address != ownAddress_)
        return network_.send(address, std::move(message));
    // Connection ids count up from 1, so an origin in the upper half of the range does not collide with one.
    const home::Home::Origin origin = ~static_cast<home::Home::Origin>(index_);
    dispatchMessage(
        std::move(message), origin, [this](wire::SubreplyBatch batch) { entry_.onReply(std::move(batch)); });
}

void Worker::adoptConnection(int descriptor, wire::FrameReader frames, bool isV6)
{
    const auto protocol = isV6 ? boost::asio::ip::tcp::v6() : boost::asio::ip::tcp::v4();
    PeerConnection::Socket socket(ioContext_);
    boost::system::error_code code;
    socket.assign(protocol, descriptor, code);
    if (code)
        return;
    PeerConnection::Hooks hooks;
    hooks.onMessage = [this](const std::shared_ptr<PeerConnection>& connection, wire::Message message) {
        dispatchMessage(std::move(message), connection->id(),
            [weak = std::weak_ptr(connection)](wire::SubreplyBatch batch) {
                if (auto target = weak.lock())
                    target->send(std::move(batch));
            });
    };
    std::make_shared<PeerConnection>(
        std::move(socket), nextConnectionId(), std::move(hooks), std::move(frames))
        ->start();
}

Worker::ReplyHandler Worker::traced(
    const std::string& traceparent, std::string_view name, const ReplyHandler& reply)
{
    const auto parent = telemetry::parseTraceparent(traceparent);
    if (!parent || !parent->sampled)
        return reply;
    return [this, traceparent, name, reply](wire::SubreplyBatch batch) {
        recordHopSpans(traces_, traceparent, name, batch, [this] { return random_(); });
        reply(std::move(batch));
    };
}

void Worker::dispatchMessage(wire::Message message, home::Home::Origin origin, const ReplyHandler& reply)
{
    if (auto* batch = std::get_if<wire::SubrequestBatch>(&message)) {
        const auto handler = traced(batch->traceparent, "home.search", reply);
        return dispatch(std::move(*batch), origin, handler);
    }
    if (auto* request = std::get_if<wire::SubmitRequest>(&message)) {
        const auto handler = traced(request->traceparent, "home.submit", reply);
        return dispatch(std::move(*request), origin, handler);
    }
    if (auto* cancel = std::get_if<wire::Cancel>(&message))
        dispatch(*cancel, origin);
}

Worker::ReplyHandler Worker::replyOnThisThread(Worker& owner, const ReplyHandler& reply)
{
    if (&owner == this)
        return reply;
    return [this, reply](wire::SubreplyBatch batch) {
        post([reply, batch = std::move(batch)]() mutable { reply(std::move(batch)); });
    };
}

void Worker::dispatch(wire::SubrequestBatch batch, home::Home::Origin origin, const ReplyHandler& reply)
{
    const TimePoint now = BootClock::now();
    if (workers_.size() == 1)
        return home_.search(std::move(batch), origin, now, reply);
    std::vector<std::vector<wire::SubrequestItem>> parts(workers_.size());
    for (auto& item : batch.items) {
        const std::size_t owner = ownerOf(item.upstream).index_;
        parts[owner].push_back(std::move(item));
    }
    for (std::size_t owner = 0; owner < parts.size(); ++owner) {
        if (parts[owner].empty())
            continue;
        wire::SubrequestBatch part = batch;
        part.items = std::move(parts[owner]);
        Worker& worker = *workers_[owner];
        auto handler = replyOnThisThread(worker, reply);
        if (&worker == this) {
            home_.search(std::move(part), origin, now, std::move(handler));
            continue;
        }
        worker.post([&worker, part = std::move(part), origin, now, handler = std::move(handler)]() mutable {
            worker.home_.search(std::move(part), origin, now, std::move(handler));
        });
    }
}

void Worker::dispatch(wire::SubmitRequest request, home::Home::Origin origin, const ReplyHandler& reply)
{
    const TimePoint now = BootClock::now();
    Worker& worker = ownerOf(request.upstream);
    auto handler = replyOnThisThread(worker, reply);
    if (&worker == this)
        return home_.submit(std::move(request), origin, now, std::move(handler));
    worker.post([&worker, request = std::move(request), origin, now, handler = std::move(handler)]() mutable {
        worker.home_.submit(std::move(request), origin, now, std::move(handler));
    });
}

void Worker::dispatch(const wire::Cancel& cancel, home::Home::Origin origin)
{
    // The message carries no upstreams, so it goes to all homes; a home ignores unknown sequence numbers.
    const TimePoint now = BootClock::now();
    for (Worker* worker : workers_) {
        if (worker == this)
            home_.cancel(cancel, origin, now);
        else
            worker->post([worker, cancel, origin, now] { worker->home_.cancel(cancel, origin, now); });
    }
}

} // namespace banyancroft::daemon
