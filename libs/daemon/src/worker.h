#pragma once

#include "entry.h"
#include "home/home.h"
#include "http_server.h"
#include "peer_network.h"
#include "telemetry/trace.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <thread>
#include <vector>

namespace banyancroft::daemon {

/**
 * Runs one traffic thread: an HTTP server, an entry, the home of the upstreams whose id hashes to this
 * thread, and the connections to other daemons.
 *
 * Constructed and destroyed by the main thread while the thread does not run. Everything but post() and the
 * thread control is called on the thread itself.
 */
class Worker {
public:
    struct Hooks {
        HttpServer::Handler onHttp;
        decltype(Entry::Hooks::claim) claim;
        /** A message that belongs to the control thread arrived on a traffic connection. */
        std::function<void(const std::string& address, wire::Message)> onControlMessage;
    };

    Worker(std::size_t index, const wire::Hello& hello, std::string ownAddress, std::uint64_t seed,
        HttpLimits limits, EntryMetrics metrics, telemetry::TraceRing& traces, Hooks hooks);
    ~Worker();

    /** Sets all workers of the daemon, this one included, in the order of their index; call before start().
     */
    void setWorkers(std::span<Worker* const> workers) { workers_.assign(workers.begin(), workers.end()); }

    void start();
    /** Stops the thread after the functions already posted to it, and waits for its end. */
    void stop();

    /** Runs a function on this thread. Thread-safe. */
    void post(std::function<void()> function);

    std::size_t index() const { return index_; }
    Entry& entry() { return entry_; }
    home::Home& home() { return home_; }
    HttpServer& http() { return http_; }

    /** Takes over an accepted connection of another daemon's traffic thread. */
    void adoptConnection(int descriptor, wire::FrameReader frames, bool isV6);
    /** Worker that owns the upstream. */
    Worker& ownerOf(const UpstreamId& upstream);

private:
    using ReplyHandler = home::Home::ReplyHandler;

    void sendToHome(const std::string& address, wire::Message message);
    void dispatch(wire::SubrequestBatch batch, home::Home::Origin origin, const ReplyHandler& reply);
    void dispatch(wire::SubmitRequest request, home::Home::Origin origin, const ReplyHandler& reply);
    void dispatch(const wire::Cancel& cancel, home::Home::Origin origin);
    /** Dispatches a message for this daemon's home to the workers that own its upstreams. */
    void dispatchMessage(wire::Message message, home::Home::Origin origin, const ReplyHandler& reply);
    /** Wraps a reply handler so that the home's spans are recorded; returns it unchanged when the trace is
     * not sampled. */
    ReplyHandler traced(const std::string& traceparent, std::string_view name, const ReplyHandler& reply);
    /** Wraps a reply handler so that it runs on this thread when the home is another worker's. */
    ReplyHandler replyOnThisThread(Worker& owner, const ReplyHandler& reply);

    boost::asio::io_context ioContext_ { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> workGuard_;
    const std::size_t index_;
    const std::string ownAddress_;
    Hooks hooks_;
    telemetry::TraceRing& traces_;
    std::mt19937_64 random_;
    std::vector<Worker*> workers_;
    home::Home home_;
    PeerNetwork network_;
    Entry entry_;
    HttpServer http_;
    std::thread thread_;
};

} // namespace banyancroft::daemon
