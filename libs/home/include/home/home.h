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

/** An upstream that this home may have to drive, with all that its decisions need. */
struct Target {
    config::Upstream upstream;
    ServiceId service;
    unsigned slots = 1;
    unsigned connections = 1;
    unsigned coldLimit = 1;
    bool zoneServing = true;
    Authority authority;
};

/** State of one upstream, for status and metrics. */
struct TargetStatus {
    UpstreamId upstream;
    bool cold = true;
    unsigned limit = 0;
    unsigned running = 0;
    unsigned queued = 0;
    unsigned connections = 0;
    std::vector<IndexVersion> servedIndexes;
};

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
 * Holds the connections to the upstreams of one traffic thread and admits work to them.
 *
 *     home::Home home(ioContext);
 *     home.apply(document.policy, targets);
 *     home.search(batch, origin, now, [](wire::SubreplyBatch reply) { … });
 *
 * Owned by a traffic thread and called only on it; callbacks run on it too. Each item of a batch gets
 * exactly one SubreplyItem through the callback, unless it was cancelled before it was sent; an item that
 * was cancelled later is answered with Outcome::Unknown and Reason::Cancelled at once. Replies that become
 * ready together may share one SubreplyBatch. The callback is never run from within search() or submit().
 */
class Home {
public:
    /** Names the entry that a query belongs to, so that query numbers of two entries never mix. */
    using Origin = std::uint64_t;
    using ReplyHandler = std::function<void(wire::SubreplyBatch)>;

    explicit Home(boost::asio::io_context& ioContext);
    ~Home();
    Home(const Home&) = delete;
    Home& operator=(const Home&) = delete;

    /** Replaces policy and targets. Targets that are gone stop accepting; their work in flight ends normally.
     */
    void apply(const config::Policy& policy, std::span<const Target> targets);
    /** Replaces the authority of one upstream; cheap, called on each renewal. */
    void setAuthority(const UpstreamId& upstream, const Authority& authority);

    /** Deadlines count from `now`, the time at which the message was read. */
    void search(wire::SubrequestBatch batch, Origin origin, TimePoint now, ReplyHandler onReply);
    void submit(wire::SubmitRequest request, Origin origin, TimePoint now, ReplyHandler onReply);
    /** A submit that was sent is not cancelled, since its outcome has to be learned. */
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
