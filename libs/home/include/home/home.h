#pragma once

#include "base/authority.h"
#include "base/ids.h"
#include "base/time.h"
#include "config/document.h"
#include "wire/messages.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace banyancroft::home {

using banyancroft::Authority;
using banyancroft::Share;

/** An upstream that this home may send to, with its declared limits and the current authority over it. */
struct Target {
    config::Upstream upstream;
    ServiceId service;
    /** Most requests that the upstream may run at once. */
    unsigned slots = 1;
    /** Most connections to the upstream, the one for cancellation and health polls included. */
    unsigned connections = 1;
    /** Most requests that may run at once while the upstream is cold. */
    unsigned coldLimit = 1;
    /** False while the upstream's zone is taken out of service. */
    bool zoneServing = true;
    Authority authority;
};

/** State of one upstream, for status and metrics. */
struct TargetStatus {
    UpstreamId upstream;
    bool cold = true;
    /** Current concurrency limit. */
    unsigned limit = 0;
    unsigned running = 0;
    unsigned queued = 0;
    unsigned connections = 0;
    std::vector<IndexVersion> servedIndexes;
};

/** Totals since the start, over all upstreams of one traffic thread. */
struct Counters {
    std::uint64_t accepted = 0;
    std::uint64_t sent = 0;
    std::uint64_t done = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t coldStarts = 0;
    std::uint64_t malformedReplies = 0;
};

/**
 * Sends searches and submits to the upstreams of one traffic thread, within the limits of each upstream.
 *
 *     home::Home home(ioContext);
 *     home.apply(document.policy, targets);
 *     home.search(batch, origin, now, [](wire::SubreplyBatch reply) { … });
 *
 * Owned by a traffic thread and called only on it; callbacks run on it too. Each item of a batch gets
 * exactly one SubreplyItem through the callback, unless it is cancelled before it was sent; a search that is
 * cancelled after that is answered at once with Outcome::Unknown and Reason::Cancelled. Replies that become
 * ready together may share one SubreplyBatch. The callback never runs from within search() or submit().
 */
class Home {
public:
    /** Identifies the entry that sent a query, since two entries may use the same query number. */
    using Origin = std::uint64_t;
    using ReplyHandler = std::function<void(wire::SubreplyBatch)>;

    explicit Home(boost::asio::io_context& ioContext);
    ~Home();
    Home(const Home&) = delete;
    Home& operator=(const Home&) = delete;

    /** Replaces policy and targets. Removed targets refuse new requests; their requests in flight complete
     * normally. */
    void apply(const config::Policy& policy, std::span<const Target> targets);
    /** Replaces the authority of one upstream; cheap, called on each renewal. */
    void setAuthority(const UpstreamId& upstream, const Authority& authority);

    /** The batch's deadline counts from `now`, the time at which the message was read. */
    void search(wire::SubrequestBatch batch, Origin origin, TimePoint now, ReplyHandler onReply);
    void submit(wire::SubmitRequest request, Origin origin, TimePoint now, ReplyHandler onReply);
    /** Cancels queued items and running searches. A submit that was sent keeps running, since its outcome has
     * to be known. */
    void cancel(const wire::Cancel& cancel, Origin origin, TimePoint now);

    /** Requests sent to the upstream and not yet answered; reported at a hand-over. */
    unsigned inFlight(const UpstreamId& upstream) const;
    unsigned inFlight() const;
    std::vector<TargetStatus> status() const;
    Counters counters() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace banyancroft::home
