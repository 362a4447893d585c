#pragma once

#include "base/ids.h"
#include "frame_connection.h"
#include "gateway/settings.h"
#include "handover/dispatcher_choice.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace banyancroft::gateway {

/** A dispatcher to which this VM may hand requests. */
struct Dispatcher {
    VmId vm;
    ListenAddress address;
    /** Processor cores; may be fractional. */
    double processors = 1;

    bool operator==(const Dispatcher& other) const
    {
        return vm == other.vm && address == other.address && processors == other.processors;
    }
};

/** Events of a request that was offered to a dispatcher. */
struct HandoverHooks {
    std::function<void(const handover::Acceptance&)> accepted;
    std::function<void(const handover::Decline&)> declined;
    std::function<void(handover::Answer&)> answered;
    /** The connection was lost before the answer. */
    std::function<void()> lost;
};

/**
 * An ingress VM's connection to one dispatcher, reopened when it is lost. Carries many requests at a time.
 *
 * A dispatcher that lets an offer time out is not used until it sends something, so that a suspended one
 * delays one request per ingress VM. Not thread-safe.
 */
class DispatcherLink : public std::enable_shared_from_this<DispatcherLink> {
public:
    using LeavingHandler = std::function<void(const handover::UpstreamLeaving&)>;

    /**
     * @param memory limits the frames; outlives the link
     * @param upstreamLeaving called when the dispatcher tells that a replica is leaving
     */
    DispatcherLink(boost::asio::io_context& ioContext, MemoryAccount& memory, Dispatcher dispatcher,
        LeavingHandler upstreamLeaving);

    /** Connects or reconnects, queries an unresponsive dispatcher and closes a silent connection; call about
     * every 100 ms. */
    void tick(TimePoint now);
    /** Closes the connection for good; requests on it end as lost. */
    void close();

    /** @return number of the request on this link */
    std::uint64_t offer(
        std::uint64_t configurationVersion, std::string request, HandoverHooks hooks, TimePoint now);
    void begin(const handover::Begin& begin);
    /** Forgets the request and tells the dispatcher. */
    void cancel(std::uint64_t number);
    /** Called with the reply, or without one if the connection was lost. */
    using CreditHandler = std::function<void(const std::optional<handover::CreditReply>&)>;
    /** Asks for credit; the number of the request is set here. @pre isConnected() @return number of the
     * question, for forgetCredit() */
    std::uint64_t askCredit(handover::CreditRequest request, CreditHandler handler);
    /** Ignores the reply to a question. */
    void forgetCredit(std::uint64_t number) { creditQuestions_.erase(number); }
    void returnCredit(const CustomerId& customer);
    /** Makes the dispatcher send a sign of life. */
    void query();
    bool isConnected() const { return connection_ != nullptr; }

    /** The offer was not accepted in time. */
    void offerTimedOut(TimePoint now);

    const Dispatcher& dispatcher() const { return dispatcher_; }
    handover::DispatcherLoad load() const;
    /** Time since which the dispatcher is cut off from the other availability zones; empty if it is not. */
    std::optional<TimePoint> cutOffSince() const { return cutOffSince_; }
    double utilization() const { return utilization_; }
    bool isAccepting() const { return connection_ && accepting_; }
    TimePoint lastReceivedAt() const;
    /** Moving average of the time from an offer to its acceptance. */
    Duration roundTrip() const { return roundTrip_; }

private:
    struct Pending {
        HandoverHooks hooks;
        TimePoint offeredAt {};
    };

    void connect(TimePoint now);
    void handleFrame(handover::Frame frame, TimePoint now);
    void handle(const handover::Acceptance& acceptance, TimePoint now);
    void handle(const handover::Decline& decline, TimePoint now);
    void handle(handover::Answer& answer, TimePoint now);
    void handle(const handover::Status& status, TimePoint now);
    void handle(const handover::CreditReply& reply, TimePoint);
    void handle(const handover::UpstreamLeaving& leaving, TimePoint) { upstreamLeaving_(leaving); }
    /** Frames that only ingress VMs send. */
    template <typename Other> void handle(const Other&, TimePoint) { closeConnection(); }
    /** An answer was discarded: its request counts as lost. */
    void handleSkipped(const handover::SkippedFrame& frame);
    void handleClosed();
    void closeConnection();

    boost::asio::io_context& ioContext_;
    MemoryAccount& memory_;
    const Dispatcher dispatcher_;
    const LeavingHandler upstreamLeaving_;
    std::shared_ptr<FrameConnection> connection_;
    std::shared_ptr<boost::asio::ip::tcp::socket> connecting_;
    TimePoint connectStartedAt_ {};
    TimePoint nextConnectAt_ {};
    std::uint64_t lastNumber_ = 0;
    std::map<std::uint64_t, Pending> pending_;
    std::map<std::uint64_t, CreditHandler> creditQuestions_;
    bool accepting_ = false;
    std::optional<TimePoint> cutOffSince_;
    double utilization_ = 0;
    /** Set while an offer has timed out and nothing was received since. */
    std::optional<TimePoint> unresponsiveSince_;
    Duration roundTrip_;
    bool closed_ = false;
};

} // namespace banyancroft::gateway
