#include "upstream_driver.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <utility>

namespace banyancroft::home {

using admission::ColdEvidence;
using admission::ConnectionTrust;
using std::chrono::milliseconds;

namespace {

/** A draining upstream must be detected within 3 s, which leaves time for three polls. */
constexpr Duration healthPollInterval = milliseconds(1000);
/** Time-out for a connection attempt and for the reply to a health poll or a cancellation. */
constexpr Duration controlTimeout = milliseconds(1000);
/** Wait after the first failed connection attempt; doubles with each further failure up to the maximum. */
constexpr Duration minConnectBackoff = milliseconds(25);
constexpr Duration maxConnectBackoff = milliseconds(1000);
/** How long a connection waits for the reply to a cancelled request; it can be reused after that reply. */
constexpr Duration cancelledReplyTimeout = milliseconds(100);
/** Shorter times in the queue are left out of the detail shown by `explain`. */
constexpr Duration minReportedQueueTime = milliseconds(1);

admission::DeclaredLimits declaredLimits(const Target& target, const config::Policy& policy)
{
    return { target.slots, target.coldLimit, policy.warmupAnswersPerStep };
}

Reason stopReasonOf(const Target& target)
{
    if (!target.zoneServing)
        return Reason::ZoneOut;
    return target.upstream.draining ? Reason::UpstreamDraining : Reason::None;
}

std::string formatMillis(Duration duration)
{
    std::string text = std::to_string(toMicros(duration) / 100);
    text.insert(text.size() - 1, text.size() == 1 ? "0." : ".");
    return text + " ms";
}

} // namespace

UpstreamDriver::UpstreamDriver(asio::io_context& ioContext, RequestTable& requests, std::mt19937_64& random,
    const Target& target, const config::Policy& policy)
    : ioContext_(ioContext)
    , requests_(requests)
    , random_(random)
    , admission_(declaredLimits(target, policy), policy.queueLimit)
    , timer_(ioContext)
{
    target_.upstream.id = target.upstream.id;
}

UpstreamDriver::~UpstreamDriver()
{
    for (const auto& channel : channels_)
        channel->connection->close();
    closeControlConnection();
}

void UpstreamDriver::apply(const Target& target, const config::Policy& policy, TimePoint now)
{
    const bool endpointChanged = target.upstream.address != target_.upstream.address
        || target.upstream.port != target_.upstream.port;
    target_ = target;
    policy_ = policy;
    retired_ = false;
    onFinished_ = nullptr;
    admission_.setDeclaredLimits(declaredLimits(target, policy), policy.queueLimit, now, refusals_);
    if (endpointChanged) {
        boost::system::error_code error;
        const auto address = asio::ip::make_address(target.upstream.address, error);
        endpoint_.reset();
        if (!error)
            endpoint_.emplace(address, target.upstream.port);
        host_ = target.upstream.address + ':' + std::to_string(target.upstream.port);
        // A new address means a new process; requests in flight at the old one complete normally.
        std::erase_if(channels_, [](const std::unique_ptr<Channel>& channel) {
            if (channel->phase != Phase::Idle)
                return false;
            channel->connection->close();
            return true;
        });
        closeControlConnection();
        nextConnectAt_ = now;
        admission_.observeColdEvidence(ColdEvidence::NewOrReturned, now, refusals_);
    }
    admission_.setStopReason(stopReasonOf(target), now, refusals_);
    setAuthority(target.authority, now);
}

void UpstreamDriver::setAuthority(const Authority& authority, TimePoint now)
{
    target_.authority = authority;
    admission_.setAuthority(authority, now, refusals_);
    pump(now);
    onTimer();
}

void UpstreamDriver::retire(TimePoint now, std::function<void()> onFinished)
{
    retired_ = true;
    onFinished_ = std::move(onFinished);
    admission_.setStopReason(Reason::WrongHome, now, refusals_);
    pump(now);
}

unsigned UpstreamDriver::allowedConnections(TimePoint now) const
{
    if (admission_.stopReason(now) != Reason::None)
        return 0;
    switch (target_.authority.share) {
    case Share::None:
        return 0;
    case Share::UncertainHalf:
        return target_.connections / 2;
    case Share::TakeoverRest:
        return target_.connections - target_.connections / 2;
    case Share::Full:
        return target_.connections;
    }
    return 0;
}

unsigned UpstreamDriver::allowedChannels(TimePoint now) const
{
    const unsigned allowed = allowedConnections(now);
    return allowed > 1 ? allowed - 1 : allowed;
}

ConnectionTrust UpstreamDriver::trustOf(const Channel& channel) const
{
    return channel.verifiedGeneration != 0
            && channel.verifiedGeneration == admission_.guard().bootGeneration()
        ? ConnectionTrust::Verified
        : ConnectionTrust::Unverified;
}

UpstreamDriver::Channel* UpstreamDriver::idleChannel()
{
    Channel* found = nullptr;
    for (const auto& channel : channels_) {
        if (channel->phase != Phase::Idle || !channel->connection->connected())
            continue;
        if (trustOf(*channel) == ConnectionTrust::Verified)
            return channel.get();
        if (found == nullptr)
            found = channel.get();
    }
    return found;
}

bool UpstreamDriver::anyConnected() const
{
    return std::any_of(channels_.begin(), channels_.end(),
        [](const auto& channel) { return channel->connection->connected(); });
}

void UpstreamDriver::openChannels(TimePoint now)
{
    if (!endpoint_ || now < nextConnectAt_ || admission_.stopReason(now) != Reason::None)
        return;
    const auto cancelledChannels = static_cast<std::size_t>(std::count_if(channels_.begin(), channels_.end(),
        [](const auto& channel) { return channel->phase == Phase::Cancelled; }));
    const std::size_t wanted = target_.slots + cancelledChannels;
    const std::size_t allowed = allowedChannels(now);
    while (channels_.size() < std::min(wanted, allowed))
        openChannel(now);
}

void UpstreamDriver::openChannel(TimePoint now)
{
    channels_.push_back(std::make_unique<Channel>());
    Channel& channel = *channels_.back();
    channel.connection = std::make_shared<Connection>(ioContext_);
    channel.timeoutAt = now + controlTimeout;
    schedule(channel.timeoutAt);
    channel.connection->connect(*endpoint_,
        { [this, &channel] { onConnected(channel); },
            [this, &channel](const Response& response) { onResponse(channel, response); },
            [this, &channel](Connection::LossReason reason, const std::string& detail) {
                onLost(channel, reason, detail);
            } });
}

void UpstreamDriver::closeChannel(const Channel& channel)
{
    channel.connection->close();
    std::erase_if(
        channels_, [&channel](const std::unique_ptr<Channel>& each) { return each.get() == &channel; });
}

void UpstreamDriver::closeSurplusConnections(TimePoint now)
{
    // A lapsed authority may be renewed within milliseconds, so only a withdrawn one closes connections.
    const bool lapsedOnly = target_.authority.share != Share::None && now >= target_.authority.validUntil;
    if (lapsedOnly && !retired_)
        return;
    const std::size_t allowed = allowedChannels(now);
    for (std::size_t index = channels_.size(); index-- > 0 && channels_.size() > allowed;) {
        if (channels_[index]->phase == Phase::Idle)
            closeChannel(*channels_[index]);
    }
    if (control_ && !needsControlConnection(now) && controlTask_ != ControlTask::Cancel)
        closeControlConnection();
}

void UpstreamDriver::onConnected(Channel& channel)
{
    channel.timeoutAt = TimePoint::max();
    connectFailures_ = 0;
    pump(BootClock::now());
}

void UpstreamDriver::enqueue(RequestHandle handle, TimePoint now)
{
    Request& request = requests_.at(handle);
    request.driver = this;
    if (!endpoint_) {
        answer(handle, Outcome::NotRun, Reason::UpstreamUnreachable, "address is not an IP number", now);
        requests_.release(handle);
        return;
    }
    auto refusal = admission_.offer(handle, request.deadline, now, refusals_);
    if (!refusal && !anyConnected() && now < nextConnectAt_) {
        admission_.removeQueued(handle);
        refusal = Reason::UpstreamUnreachable;
    }
    if (refusal) {
        answer(handle, Outcome::NotRun, *refusal, describeState(now), now);
        requests_.release(handle);
    }
    answerRefusals(now);
}

void UpstreamDriver::cancel(RequestHandle handle, TimePoint now)
{
    if (admission_.removeQueued(handle)) {
        ++requests_.counters().cancelled;
        requests_.release(handle);
        return;
    }
    if (requests_.at(handle).isSubmit() || requests_.at(handle).answered)
        return;
    for (const auto& channel : channels_) {
        if (channel->phase != Phase::Running || channel->handle != handle)
            continue;
        ++requests_.counters().cancelled;
        abandon(*channel, Reason::Cancelled, now);
        sendNextControlRequest(now);
        return;
    }
}

void UpstreamDriver::pump(TimePoint now)
{
    admission_.expire(now, refusals_);
    answerRefusals(now);
    while (admission_.queued() > 0) {
        Channel* channel = idleChannel();
        if (channel == nullptr || !admission_.canStart(trustOf(*channel), now) || !sendNext(*channel))
            break;
    }
    openChannels(now);
    closeSurplusConnections(now);
    if (const auto wake = admission_.nextWake(now))
        schedule(*wake);
    if (onFinished_ && finished())
        std::exchange(onFinished_, nullptr)();
}

bool UpstreamDriver::sendNext(Channel& channel)
{
    const ConnectionTrust trust = trustOf(channel);
    const TimePoint now = BootClock::now();
    const auto handle = admission_.start(trust, now, refusals_);
    answerRefusals(now);
    if (!handle)
        return false;
    Request& request = requests_.at(*handle);
    const auto remaining = std::chrono::duration_cast<milliseconds>(request.deadline - now).count();
    const auto* batch = std::get_if<wire::SubrequestBatch>(&request.query->message);
    std::string text = batch != nullptr
        ? searchRequest(*batch, request.shards, host_, request.id(), remaining)
        : submitRequest(
            std::get<wire::SubmitRequest>(request.query->message), host_, request.id(), remaining);

    const TimePoint sendTime = BootClock::now();
    Reason refusal = admission_.stopReason(sendTime);
    if (refusal == Reason::None && remaining < 1)
        refusal = Reason::DeadlineTooShort;
    const bool lost = refusal == Reason::None && !channel.connection->send(std::move(text));
    if (lost)
        refusal = Reason::UpstreamUnreachable;
    if (refusal != Reason::None) {
        admission_.finish(trust);
        answer(*handle, Outcome::NotRun, refusal, lost ? "connection closed before the send" : "", sendTime);
        requests_.release(*handle);
        if (lost) {
            closeChannel(channel);
            admission_.observeColdEvidence(ColdEvidence::ConnectionReset, sendTime, refusals_);
            answerRefusals(sendTime);
        }
        return true;
    }
    request.state = Request::State::Running;
    ++requests_.counters().sent;
    channel.phase = Phase::Running;
    channel.trust = trust;
    channel.handle = *handle;
    channel.sentAt = sendTime;
    channel.timeoutAt = request.deadline;
    schedule(channel.timeoutAt);
    return true;
}

void UpstreamDriver::releaseSlot(Channel& channel)
{
    admission_.finish(channel.trust);
    requests_.release(channel.handle);
}

void UpstreamDriver::abandon(Channel& channel, Reason reason, TimePoint now)
{
    answer(channel.handle, Outcome::Unknown, reason,
        "sent " + formatMillis(now - channel.sentAt) + " ago, no reply; " + describeState(now), now);
    channel.phase = Phase::Abandoned;
    // The bound that also applies to requests of a home whose lease lapsed (design page, section 4).
    channel.timeoutAt = std::max(now, requests_.at(channel.handle).deadline) + policy_.maxDeadline;
    schedule(channel.timeoutAt);
    if (!requests_.at(channel.handle).isSubmit())
        pendingCancellations_.push_back(channel.handle);
}

void UpstreamDriver::recordObservation(
    Channel& channel, const Response& response, const ReplyHeaders& headers, TimePoint now)
{
    admission::UpstreamAnswer observed;
    observed.boot = headers.boot;
    observed.cold = headers.cold;
    observed.completed = response.result() == http::status::ok;
    observed.shed = response.result() == http::status::service_unavailable && headers.notRun;
    observed.latency = now - channel.sentAt;
    admission_.observeAnswer(observed, now, refusals_);
    if (admission_.guard().isCurrentBoot(headers.boot))
        channel.verifiedGeneration = admission_.guard().bootGeneration();
    if (!headers.servedIndexes.empty())
        servedIndexes_ = headers.servedIndexes;
    if (!headers.servedLayouts.empty())
        servedLayouts_ = headers.servedLayouts;
}

wire::SubreplyItem UpstreamDriver::interpret(const Request& request, const Response& response,
    const std::optional<ReplyHeaders>& headers, std::string& detail)
{
    wire::SubreplyItem item;
    item.outcome = Outcome::Unknown;
    item.reason = Reason::UpstreamMalformed;
    if (!headers)
        return item;
    item.layout = headers->layout;
    item.index = headers->index;
    if (response.result() != http::status::ok) {
        detail = "status " + std::to_string(response.result_int());
        item.outcome = headers->notRun ? Outcome::NotRun : Outcome::Unknown;
        item.reason = Reason::UpstreamFailed;
        if (headers->notRun && response.result() == http::status::service_unavailable)
            item.reason = Reason::UpstreamShed;
        if (headers->notRun && response.result() == http::status::conflict) {
            const auto* batch = std::get_if<wire::SubrequestBatch>(&request.query->message);
            const auto& served = headers->servedLayouts;
            const bool layoutDiffers = batch != nullptr
                && ((headers->layout && headers->layout != batch->layout)
                    || (!served.empty()
                        && std::find(served.begin(), served.end(), batch->layout) == served.end()));
            item.reason = layoutDiffers ? Reason::LayoutVersionMismatch : Reason::IndexVersionMismatch;
        }
        return item;
    }
    if (headers->notRun) {
        detail = "status 200 with X-Not-Run";
        return item;
    }
    if (request.isSubmit()) {
        auto result = parseSubmitResult(response.body());
        if (!result) {
            detail = "status 200 without a JSON result";
            return item;
        }
        item.rows = std::move(*result);
    } else {
        if (!headers->layout || !headers->index || headers->boot.empty()) {
            detail = "X-Layout-Version, X-Index-Version or X-Boot-Id is missing";
            return item;
        }
        if (!rowsAreValid(response.body(), detail))
            return item;
        item.rows = response.body();
    }
    item.outcome = Outcome::Done;
    item.reason = Reason::None;
    return item;
}

void UpstreamDriver::onResponse(Channel& channel, const Response& response)
{
    const TimePoint now = BootClock::now();
    std::string detail;
    const auto headers = parseHeaders(response, detail);
    bool malformed = !headers;
    if (channel.phase != Phase::Cancelled) {
        const Request& request = requests_.at(channel.handle);
        if (!request.answered) {
            wire::SubreplyItem item = interpret(request, response, headers, detail);
            malformed = item.reason == Reason::UpstreamMalformed;
            if (headers)
                recordObservation(channel, response, *headers, now);
            const Duration waited = channel.sentAt - request.accepted;
            if (waited >= minReportedQueueTime)
                detail += (detail.empty() ? "queued " : ", queued ") + formatMillis(waited);
            if (channel.trust == ConnectionTrust::Unverified)
                detail += detail.empty() ? "new connection" : ", new connection";
            item.detail = std::move(detail);
            fillUpstreamState(item);
            requests_.answer(channel.handle, std::move(item), now);
        } else if (headers) {
            recordObservation(channel, response, *headers, now);
        }
        releaseSlot(channel);
    } else if (headers) {
        recordObservation(channel, response, *headers, now);
    }
    channel.phase = Phase::Idle;
    channel.timeoutAt = TimePoint::max();
    if (malformed)
        ++requests_.counters().malformedReplies;
    if (malformed || channel.connection->closed())
        closeChannel(channel);
    pump(now);
}

void UpstreamDriver::onLost(Channel& channel, Connection::LossReason reason, const std::string& detail)
{
    const TimePoint now = BootClock::now();
    if (reason == Connection::LossReason::ConnectFailed) {
        closeChannel(channel);
        connectFailed(now, detail);
        return;
    }
    const bool malformed = reason == Connection::LossReason::Malformed;
    lastFailure_ = detail;
    if (malformed)
        ++requests_.counters().malformedReplies;
    if (channel.phase == Phase::Running) {
        answer(channel.handle, Outcome::Unknown,
            malformed ? Reason::UpstreamMalformed : Reason::UpstreamUnreachable, detail, now);
    }
    if (channel.phase == Phase::Running || channel.phase == Phase::Abandoned)
        releaseSlot(channel);
    closeChannel(channel);
    if (!malformed)
        admission_.observeColdEvidence(ColdEvidence::ConnectionReset, now, refusals_);
    pump(now);
}

void UpstreamDriver::connectFailed(TimePoint now, const std::string& detail)
{
    lastFailure_ = detail;
    if (now >= nextConnectAt_) {
        const Duration wait = minConnectBackoff * (1U << std::min(connectFailures_, 6U));
        nextConnectAt_ = now + jittered(std::min(wait, maxConnectBackoff));
        ++connectFailures_;
        schedule(nextConnectAt_);
    }
    admission_.observeColdEvidence(ColdEvidence::ConnectionRefused, now, refusals_);
    if (!anyConnected())
        admission_.refuseQueued(Reason::UpstreamUnreachable, refusals_);
    pump(now);
}

void UpstreamDriver::answerRefusals(TimePoint now)
{
    // Answers are delivered later from the event loop, so no callback can extend the list here.
    for (const admission::Refusal& refusal : refusals_) {
        answer(refusal.request, Outcome::NotRun, refusal.reason, describeState(now), now);
        requests_.release(refusal.request);
    }
    refusals_.clear();
}

void UpstreamDriver::answer(
    RequestHandle handle, Outcome outcome, Reason reason, std::string detail, TimePoint now)
{
    wire::SubreplyItem item;
    item.outcome = outcome;
    item.reason = reason;
    item.detail = std::move(detail);
    fillUpstreamState(item);
    requests_.answer(handle, std::move(item), now);
}

void UpstreamDriver::fillUpstreamState(wire::SubreplyItem& item) const
{
    item.load = admission_.running() + admission_.queued();
    item.cold = admission_.cold();
    item.servedIndexes = servedIndexes_;
    item.servedLayouts = servedLayouts_;
}

std::string UpstreamDriver::describeState(TimePoint now) const
{
    std::string text = "limit " + std::to_string(admission_.limit(now)) + " of "
        + std::to_string(target_.slots) + (admission_.cold() ? " cold" : "") + ", "
        + std::to_string(admission_.running()) + " running, " + std::to_string(admission_.queued())
        + " queued, service time " + formatMillis(admission_.serviceTime());
    if (!anyConnected())
        text += lastFailure_.empty() ? ", not connected" : ", not connected: " + lastFailure_;
    return text;
}

void UpstreamDriver::schedule(TimePoint at)
{
    if (at >= armedFor_)
        return;
    armedFor_ = at;
    timer_.expires_after(std::max(Duration::zero(), at - BootClock::now()));
    timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](const boost::system::error_code& error) {
        if (!error && !alive.expired())
            onTimer();
    });
}

void UpstreamDriver::onTimer()
{
    const TimePoint now = BootClock::now();
    armedFor_ = TimePoint::max();
    checkTimeouts(now);
    sendNextControlRequest(now);
    pump(now);
    for (const auto& channel : channels_)
        schedule(channel->timeoutAt);
    schedule(controlTimeoutAt_);
    if (needsControlConnection(now))
        schedule(std::max(nextHealthPollAt_, nextConnectAt_));
    if (now < nextConnectAt_ && channels_.size() < allowedChannels(now))
        schedule(nextConnectAt_);
}

void UpstreamDriver::checkTimeouts(TimePoint now)
{
    for (std::size_t index = channels_.size(); index-- > 0;) {
        Channel& channel = *channels_[index];
        if (now < channel.timeoutAt)
            continue;
        switch (channel.phase) {
        case Phase::Idle:
            closeChannel(channel);
            connectFailed(now, "no connection in time");
            // connectFailed() may have closed more channels; the rest are checked on the next timer run.
            schedule(now);
            return;
        case Phase::Running:
            abandon(channel, Reason::DeadlineExceeded, now);
            break;
        case Phase::Abandoned:
            releaseSlot(channel);
            closeChannel(channel);
            break;
        case Phase::Cancelled:
            closeChannel(channel);
            break;
        }
    }
    if (control_ && now >= controlTimeoutAt_)
        closeControlConnection();
}

Duration UpstreamDriver::jittered(Duration duration)
{
    return std::chrono::duration_cast<Duration>(
        duration * std::uniform_real_distribution<double>(0.75, 1.25)(random_));
}

bool UpstreamDriver::needsControlConnection(TimePoint now) const
{
    const Reason reason = admission_.stopReason(now);
    const bool polls
        = reason == Reason::None || (reason == Reason::UpstreamDraining && !target_.upstream.draining);
    return target_.connections > 1 && target_.authority.share != Share::None
        && (polls || !pendingCancellations_.empty());
}

void UpstreamDriver::openControlConnection(TimePoint now)
{
    if (!endpoint_ || now < nextConnectAt_)
        return;
    control_ = std::make_shared<Connection>(ioContext_);
    controlTimeoutAt_ = now + controlTimeout;
    schedule(controlTimeoutAt_);
    control_->connect(*endpoint_,
        { [this] {
             controlTimeoutAt_ = TimePoint::max();
             sendNextControlRequest(BootClock::now());
         },
            [this](const Response& response) { onControlResponse(response); },
            [this](Connection::LossReason reason, const std::string& detail) {
                onControlLost(reason, detail);
            } });
}

void UpstreamDriver::sendNextControlRequest(TimePoint now)
{
    if (!needsControlConnection(now) || controlTask_ != ControlTask::None)
        return;
    if (!control_) {
        openControlConnection(now);
        return;
    }
    if (!control_->connected())
        return;
    while (!pendingCancellations_.empty() && controlTask_ == ControlTask::None) {
        const RequestHandle handle = pendingCancellations_.front();
        pendingCancellations_.pop_front();
        const bool open = std::any_of(channels_.begin(), channels_.end(), [handle](const auto& channel) {
            return channel->phase == Phase::Abandoned && channel->handle == handle;
        });
        if (!open)
            continue;
        requestBeingCancelled_ = handle;
        controlTask_ = ControlTask::Cancel;
        if (!control_->send(cancelRequest(host_, requests_.at(handle).id())))
            closeControlConnection();
    }
    if (controlTask_ == ControlTask::None && now >= nextHealthPollAt_) {
        nextHealthPollAt_ = now + jittered(healthPollInterval);
        schedule(nextHealthPollAt_);
        controlTask_ = ControlTask::Health;
        if (!control_->send(healthRequest(host_)))
            closeControlConnection();
    }
    if (controlTask_ != ControlTask::None) {
        controlTimeoutAt_ = now + controlTimeout;
        schedule(controlTimeoutAt_);
    }
}

void UpstreamDriver::onControlResponse(const Response& response)
{
    const TimePoint now = BootClock::now();
    const ControlTask task = std::exchange(controlTask_, ControlTask::None);
    controlTimeoutAt_ = TimePoint::max();
    if (task == ControlTask::Cancel && response.result() == http::status::ok) {
        for (const auto& channel : channels_) {
            if (channel->phase != Phase::Abandoned || channel->handle != requestBeingCancelled_)
                continue;
            releaseSlot(*channel);
            channel->phase = Phase::Cancelled;
            channel->timeoutAt = now + cancelledReplyTimeout;
            schedule(channel->timeoutAt);
            break;
        }
    }
    if (task == ControlTask::Health) {
        if (auto health = parseHealth(response)) {
            admission_.observeHealthReport(health->report, now, refusals_);
            servedIndexes_ = std::move(health->servedIndexes);
            servedLayouts_ = std::move(health->servedLayouts);
        } else {
            ++requests_.counters().malformedReplies;
        }
    }
    if (control_ && control_->closed())
        closeControlConnection();
    sendNextControlRequest(now);
    pump(now);
}

void UpstreamDriver::onControlLost(Connection::LossReason reason, const std::string& detail)
{
    const TimePoint now = BootClock::now();
    closeControlConnection();
    if (reason == Connection::LossReason::ConnectFailed) {
        connectFailed(now, detail);
        return;
    }
    if (reason == Connection::LossReason::Malformed) {
        ++requests_.counters().malformedReplies;
    } else {
        admission_.observeColdEvidence(ColdEvidence::ConnectionReset, now, refusals_);
    }
    schedule(now + minConnectBackoff);
    pump(now);
}

void UpstreamDriver::closeControlConnection()
{
    if (control_)
        control_->close();
    control_.reset();
    controlTask_ = ControlTask::None;
    controlTimeoutAt_ = TimePoint::max();
}

TargetStatus UpstreamDriver::status(TimePoint now) const
{
    TargetStatus status;
    status.upstream = id();
    status.cold = admission_.cold();
    status.limit = admission_.limit(now);
    status.running = admission_.running();
    status.queued = admission_.queued();
    status.connections = static_cast<unsigned>(channels_.size()) + (control_ ? 1 : 0);
    status.servedIndexes = servedIndexes_;
    return status;
}

} // namespace banyancroft::home
