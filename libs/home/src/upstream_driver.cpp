#include "upstream_driver.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <utility>

namespace banyancroft::home {

using admission::ColdEvidence;
using admission::ConnectionTrust;
using std::chrono::milliseconds;

namespace {

/** Time between health polls; three polls fit into the 3 s in which a leaving upstream must be noticed. */
constexpr Duration healthPeriod = milliseconds(1000);
/** Longest wait for a connection or for an answer to a poll or a cancellation. */
constexpr Duration controlTimeout = milliseconds(1000);
/** First wait after a refused connection; doubles up to the longest. */
constexpr Duration shortestBackoff = milliseconds(25);
constexpr Duration longestBackoff = milliseconds(1000);
/** How long a connection is kept for the reply to a cancelled request, so that it can be used again. */
constexpr Duration cancelledReplyWait = milliseconds(100);
/** Waits in the queue that are worth a note for `explain`. */
constexpr Duration notedWait = milliseconds(1);

admission::DeclaredLimits declared(const Target& target, const config::Policy& policy)
{
    return { target.slots, target.coldLimit, policy.warmupAnswersPerStep };
}

Reason stopOf(const Target& target)
{
    if (!target.zoneServing)
        return Reason::ZoneOut;
    return target.upstream.draining ? Reason::UpstreamDraining : Reason::None;
}

std::string millis(Duration duration)
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
    , admission_(declared(target, policy), policy.queueLimit)
    , timer_(ioContext)
{
    target_.upstream.id = target.upstream.id;
}

UpstreamDriver::~UpstreamDriver()
{
    for (const auto& lane : lanes_)
        lane->connection->close();
    closeControl();
}

void UpstreamDriver::apply(const Target& target, const config::Policy& policy, TimePoint now)
{
    const bool moved = target.upstream.address != target_.upstream.address
        || target.upstream.port != target_.upstream.port;
    target_ = target;
    policy_ = policy;
    retired_ = false;
    onFinished_ = nullptr;
    admission_.setDeclaredLimits(declared(target, policy), policy.queueLimit, now, refused_);
    if (moved) {
        boost::system::error_code error;
        const auto address = asio::ip::make_address(target.upstream.address, error);
        endpoint_.reset();
        if (!error)
            endpoint_.emplace(address, target.upstream.port);
        host_ = target.upstream.address + ':' + std::to_string(target.upstream.port);
        // Another address is another process; requests in flight at the old one end normally.
        std::erase_if(lanes_, [](const std::unique_ptr<Lane>& lane) {
            if (lane->phase != Phase::Idle)
                return false;
            lane->connection->close();
            return true;
        });
        closeControl();
        connectAgainAt_ = now;
        admission_.observeColdEvidence(ColdEvidence::NewOrReturned, now, refused_);
    }
    admission_.setStopReason(stopOf(target), now, refused_);
    setAuthority(target.authority, now);
}

void UpstreamDriver::setAuthority(const Authority& authority, TimePoint now)
{
    target_.authority = authority;
    admission_.setAuthority(authority, now, refused_);
    pump(now);
    onTimer();
}

void UpstreamDriver::retire(TimePoint now, std::function<void()> onFinished)
{
    retired_ = true;
    onFinished_ = std::move(onFinished);
    admission_.setStopReason(Reason::WrongHome, now, refused_);
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

unsigned UpstreamDriver::allowedLanes(TimePoint now) const
{
    const unsigned allowed = allowedConnections(now);
    return allowed > 1 ? allowed - 1 : allowed;
}

ConnectionTrust UpstreamDriver::trustOf(const Lane& lane) const
{
    return lane.verifiedGeneration != 0 && lane.verifiedGeneration == admission_.guard().bootGeneration()
        ? ConnectionTrust::Verified
        : ConnectionTrust::Unverified;
}

UpstreamDriver::Lane* UpstreamDriver::idleLane()
{
    Lane* found = nullptr;
    for (const auto& lane : lanes_) {
        if (lane->phase != Phase::Idle || !lane->connection->connected())
            continue;
        if (trustOf(*lane) == ConnectionTrust::Verified)
            return lane.get();
        if (found == nullptr)
            found = lane.get();
    }
    return found;
}

bool UpstreamDriver::anyConnected() const
{
    return std::any_of(
        lanes_.begin(), lanes_.end(), [](const auto& lane) { return lane->connection->connected(); });
}

void UpstreamDriver::openLanes(TimePoint now)
{
    if (!endpoint_ || now < connectAgainAt_ || admission_.stopReason(now) != Reason::None)
        return;
    const auto waiting = static_cast<std::size_t>(std::count_if(
        lanes_.begin(), lanes_.end(), [](const auto& lane) { return lane->phase == Phase::Cancelled; }));
    const std::size_t wanted = target_.slots + waiting;
    const std::size_t allowed = allowedLanes(now);
    while (lanes_.size() < std::min(wanted, allowed))
        openLane(now);
}

void UpstreamDriver::openLane(TimePoint now)
{
    lanes_.push_back(std::make_unique<Lane>());
    Lane& lane = *lanes_.back();
    lane.connection = std::make_shared<Connection>(ioContext_);
    lane.waitUntil = now + controlTimeout;
    schedule(lane.waitUntil);
    lane.connection->connect(*endpoint_,
        { [this, &lane] { onConnected(lane); },
            [this, &lane](const Response& response) { onResponse(lane, response); },
            [this, &lane](
                Connection::Lost lost, const std::string& detail) { onLost(lane, lost, detail); } });
}

void UpstreamDriver::closeLane(const Lane& lane)
{
    lane.connection->close();
    std::erase_if(lanes_, [&lane](const std::unique_ptr<Lane>& each) { return each.get() == &lane; });
}

void UpstreamDriver::closeSurplus(TimePoint now)
{
    // A lapsed authority may be renewed within milliseconds; only a taken one gives connections up.
    const bool lapsedOnly = target_.authority.share != Share::None && now >= target_.authority.validUntil;
    if (lapsedOnly && !retired_)
        return;
    const std::size_t allowed = allowedLanes(now);
    for (std::size_t index = lanes_.size(); index-- > 0 && lanes_.size() > allowed;) {
        if (lanes_[index]->phase == Phase::Idle)
            closeLane(*lanes_[index]);
    }
    if (control_ && !wantsControl(now) && controlTask_ != ControlTask::Cancel)
        closeControl();
}

void UpstreamDriver::onConnected(Lane& lane)
{
    lane.waitUntil = TimePoint::max();
    connectFailures_ = 0;
    pump(BootClock::now());
}

void UpstreamDriver::enqueue(RequestHandle work, TimePoint now)
{
    Request& request = requests_.at(work);
    request.driver = this;
    if (!endpoint_) {
        answer(work, Outcome::NotRun, Reason::UpstreamUnreachable, "address is not an IP number", now);
        requests_.release(work);
        return;
    }
    auto refusal = admission_.offer(work, request.deadline, now, refused_);
    if (!refusal && !anyConnected() && now < connectAgainAt_) {
        admission_.removeQueued(work);
        refusal = Reason::UpstreamUnreachable;
    }
    if (refusal) {
        answer(work, Outcome::NotRun, *refusal, describe(now), now);
        requests_.release(work);
    }
    giveBack(now);
}

void UpstreamDriver::cancel(RequestHandle work, TimePoint now)
{
    if (admission_.removeQueued(work)) {
        ++requests_.counters().cancelled;
        requests_.release(work);
        return;
    }
    if (requests_.at(work).isSubmit() || requests_.at(work).answered)
        return;
    for (const auto& lane : lanes_) {
        if (lane->phase != Phase::Running || lane->work != work)
            continue;
        ++requests_.counters().cancelled;
        abandon(*lane, Reason::Cancelled, now);
        controlNext(now);
        return;
    }
}

void UpstreamDriver::pump(TimePoint now)
{
    admission_.expire(now, refused_);
    giveBack(now);
    while (admission_.queued() > 0) {
        Lane* lane = idleLane();
        if (lane == nullptr || !admission_.canStart(trustOf(*lane), now) || !sendNext(*lane))
            break;
    }
    openLanes(now);
    closeSurplus(now);
    if (const auto wake = admission_.nextWake(now))
        schedule(*wake);
    if (onFinished_ && finished())
        std::exchange(onFinished_, nullptr)();
}

bool UpstreamDriver::sendNext(Lane& lane)
{
    const ConnectionTrust trust = trustOf(lane);
    const TimePoint now = BootClock::now();
    const auto work = admission_.start(trust, now, refused_);
    giveBack(now);
    if (!work)
        return false;
    Request& request = requests_.at(*work);
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
    const bool lost = refusal == Reason::None && !lane.connection->send(std::move(text));
    if (lost)
        refusal = Reason::UpstreamUnreachable;
    if (refusal != Reason::None) {
        admission_.finish(trust);
        answer(*work, Outcome::NotRun, refusal, lost ? "connection closed before the send" : "", sendTime);
        requests_.release(*work);
        if (lost) {
            closeLane(lane);
            admission_.observeColdEvidence(ColdEvidence::ConnectionReset, sendTime, refused_);
            giveBack(sendTime);
        }
        return true;
    }
    request.state = Request::State::Running;
    ++requests_.counters().sent;
    lane.phase = Phase::Running;
    lane.trust = trust;
    lane.work = *work;
    lane.sentAt = sendTime;
    lane.waitUntil = request.deadline;
    schedule(lane.waitUntil);
    return true;
}

void UpstreamDriver::freeSlot(Lane& lane)
{
    admission_.finish(lane.trust);
    requests_.release(lane.work);
}

void UpstreamDriver::abandon(Lane& lane, Reason reason, TimePoint now)
{
    answer(lane.work, Outcome::Unknown, reason,
        "sent " + millis(now - lane.sentAt) + " ago, no reply; " + describe(now), now);
    lane.phase = Phase::Abandoned;
    // The bound that also covers requests of a home whose lease lapsed (design page, section 4).
    lane.waitUntil = std::max(now, requests_.at(lane.work).deadline) + policy_.maxDeadline;
    schedule(lane.waitUntil);
    if (!requests_.at(lane.work).isSubmit())
        cancels_.push_back(lane.work);
}

void UpstreamDriver::observe(Lane& lane, const Response& response, const ReplyHeaders& headers, TimePoint now)
{
    admission::UpstreamAnswer observed;
    observed.boot = headers.boot;
    observed.cold = headers.cold;
    observed.completed = response.result() == http::status::ok;
    observed.shed = response.result() == http::status::service_unavailable && headers.notRun;
    observed.latency = now - lane.sentAt;
    admission_.observeAnswer(observed, now, refused_);
    if (admission_.guard().isCurrentBoot(headers.boot))
        lane.verifiedGeneration = admission_.guard().bootGeneration();
    if (!headers.servedIndexes.empty())
        servedIndexes_ = headers.servedIndexes;
    if (!headers.servedLayouts.empty())
        servedLayouts_ = headers.servedLayouts;
}

wire::SubreplyItem UpstreamDriver::judge(const Request& request, const Response& response,
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

void UpstreamDriver::onResponse(Lane& lane, const Response& response)
{
    const TimePoint now = BootClock::now();
    std::string detail;
    const auto headers = parseHeaders(response, detail);
    bool malformed = !headers;
    if (lane.phase != Phase::Cancelled) {
        const Request& request = requests_.at(lane.work);
        if (!request.answered) {
            wire::SubreplyItem item = judge(request, response, headers, detail);
            malformed = item.reason == Reason::UpstreamMalformed;
            if (headers)
                observe(lane, response, *headers, now);
            const Duration waited = lane.sentAt - request.accepted;
            if (waited >= notedWait)
                detail += (detail.empty() ? "queued " : ", queued ") + millis(waited);
            if (lane.trust == ConnectionTrust::Unverified)
                detail += detail.empty() ? "new connection" : ", new connection";
            item.detail = std::move(detail);
            fillState(item);
            requests_.answer(lane.work, std::move(item), now);
        } else if (headers) {
            observe(lane, response, *headers, now);
        }
        freeSlot(lane);
    } else if (headers) {
        observe(lane, response, *headers, now);
    }
    lane.phase = Phase::Idle;
    lane.waitUntil = TimePoint::max();
    if (malformed)
        ++requests_.counters().malformedReplies;
    if (malformed || lane.connection->closed())
        closeLane(lane);
    pump(now);
}

void UpstreamDriver::onLost(Lane& lane, Connection::Lost lost, const std::string& detail)
{
    const TimePoint now = BootClock::now();
    if (lost == Connection::Lost::Refused) {
        closeLane(lane);
        connectFailed(now, detail);
        return;
    }
    const bool malformed = lost == Connection::Lost::Malformed;
    lastFailure_ = detail;
    if (malformed)
        ++requests_.counters().malformedReplies;
    if (lane.phase == Phase::Running) {
        answer(lane.work, Outcome::Unknown,
            malformed ? Reason::UpstreamMalformed : Reason::UpstreamUnreachable, detail, now);
    }
    if (lane.phase == Phase::Running || lane.phase == Phase::Abandoned)
        freeSlot(lane);
    closeLane(lane);
    if (!malformed)
        admission_.observeColdEvidence(ColdEvidence::ConnectionReset, now, refused_);
    pump(now);
}

void UpstreamDriver::connectFailed(TimePoint now, const std::string& detail)
{
    lastFailure_ = detail;
    if (now >= connectAgainAt_) {
        const Duration wait = shortestBackoff * (1U << std::min(connectFailures_, 6U));
        connectAgainAt_ = now + jittered(std::min(wait, longestBackoff));
        ++connectFailures_;
        schedule(connectAgainAt_);
    }
    admission_.observeColdEvidence(ColdEvidence::ConnectionRefused, now, refused_);
    if (!anyConnected())
        admission_.refuseQueued(Reason::UpstreamUnreachable, refused_);
    pump(now);
}

void UpstreamDriver::giveBack(TimePoint now)
{
    // Answers do not run callbacks here, so the list cannot grow meanwhile.
    for (const admission::Refusal& refusal : refused_) {
        answer(refusal.request, Outcome::NotRun, refusal.reason, describe(now), now);
        requests_.release(refusal.request);
    }
    refused_.clear();
}

void UpstreamDriver::answer(
    RequestHandle work, Outcome outcome, Reason reason, std::string detail, TimePoint now)
{
    wire::SubreplyItem item;
    item.outcome = outcome;
    item.reason = reason;
    item.detail = std::move(detail);
    fillState(item);
    requests_.answer(work, std::move(item), now);
}

void UpstreamDriver::fillState(wire::SubreplyItem& item) const
{
    item.load = admission_.running() + admission_.queued();
    item.cold = admission_.cold();
    item.servedIndexes = servedIndexes_;
    item.servedLayouts = servedLayouts_;
}

std::string UpstreamDriver::describe(TimePoint now) const
{
    std::string text = "limit " + std::to_string(admission_.limit(now)) + " of "
        + std::to_string(target_.slots) + (admission_.cold() ? " cold" : "") + ", "
        + std::to_string(admission_.running()) + " running, " + std::to_string(admission_.queued())
        + " queued, service time " + millis(admission_.serviceTime());
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
    checkWaits(now);
    controlNext(now);
    pump(now);
    for (const auto& lane : lanes_)
        schedule(lane->waitUntil);
    schedule(controlWaitUntil_);
    if (wantsControl(now))
        schedule(std::max(nextHealthAt_, connectAgainAt_));
    if (now < connectAgainAt_ && lanes_.size() < allowedLanes(now))
        schedule(connectAgainAt_);
}

void UpstreamDriver::checkWaits(TimePoint now)
{
    for (std::size_t index = lanes_.size(); index-- > 0;) {
        Lane& lane = *lanes_[index];
        if (now < lane.waitUntil)
            continue;
        switch (lane.phase) {
        case Phase::Idle:
            closeLane(lane);
            connectFailed(now, "no connection in time");
            // Further lanes may have gone with the call above; the others are checked at the next run.
            schedule(now);
            return;
        case Phase::Running:
            abandon(lane, Reason::DeadlineExceeded, now);
            break;
        case Phase::Abandoned:
            freeSlot(lane);
            closeLane(lane);
            break;
        case Phase::Cancelled:
            closeLane(lane);
            break;
        }
    }
    if (control_ && now >= controlWaitUntil_)
        closeControl();
}

Duration UpstreamDriver::jittered(Duration duration)
{
    return std::chrono::duration_cast<Duration>(
        duration * std::uniform_real_distribution<double>(0.75, 1.25)(random_));
}

bool UpstreamDriver::wantsControl(TimePoint now) const
{
    const Reason reason = admission_.stopReason(now);
    const bool polls
        = reason == Reason::None || (reason == Reason::UpstreamDraining && !target_.upstream.draining);
    return target_.connections > 1 && target_.authority.share != Share::None && (polls || !cancels_.empty());
}

void UpstreamDriver::openControl(TimePoint now)
{
    if (!endpoint_ || now < connectAgainAt_)
        return;
    control_ = std::make_shared<Connection>(ioContext_);
    controlWaitUntil_ = now + controlTimeout;
    schedule(controlWaitUntil_);
    control_->connect(*endpoint_,
        { [this] {
             controlWaitUntil_ = TimePoint::max();
             controlNext(BootClock::now());
         },
            [this](const Response& response) { onControlResponse(response); },
            [this](Connection::Lost lost, const std::string& detail) { onControlLost(lost, detail); } });
}

void UpstreamDriver::controlNext(TimePoint now)
{
    if (!wantsControl(now) || controlTask_ != ControlTask::None)
        return;
    if (!control_) {
        openControl(now);
        return;
    }
    if (!control_->connected())
        return;
    while (!cancels_.empty() && controlTask_ == ControlTask::None) {
        const RequestHandle work = cancels_.front();
        cancels_.pop_front();
        const bool open = std::any_of(lanes_.begin(), lanes_.end(),
            [work](const auto& lane) { return lane->phase == Phase::Abandoned && lane->work == work; });
        if (!open)
            continue;
        cancelling_ = work;
        controlTask_ = ControlTask::Cancel;
        if (!control_->send(cancelRequest(host_, requests_.at(work).id())))
            closeControl();
    }
    if (controlTask_ == ControlTask::None && now >= nextHealthAt_) {
        nextHealthAt_ = now + jittered(healthPeriod);
        schedule(nextHealthAt_);
        controlTask_ = ControlTask::Health;
        if (!control_->send(healthRequest(host_)))
            closeControl();
    }
    if (controlTask_ != ControlTask::None) {
        controlWaitUntil_ = now + controlTimeout;
        schedule(controlWaitUntil_);
    }
}

void UpstreamDriver::onControlResponse(const Response& response)
{
    const TimePoint now = BootClock::now();
    const ControlTask task = std::exchange(controlTask_, ControlTask::None);
    controlWaitUntil_ = TimePoint::max();
    if (task == ControlTask::Cancel && response.result() == http::status::ok) {
        for (const auto& lane : lanes_) {
            if (lane->phase != Phase::Abandoned || lane->work != cancelling_)
                continue;
            freeSlot(*lane);
            lane->phase = Phase::Cancelled;
            lane->waitUntil = now + cancelledReplyWait;
            schedule(lane->waitUntil);
            break;
        }
    }
    if (task == ControlTask::Health) {
        if (auto health = parseHealth(response)) {
            admission_.observeHealthReport(health->report, now, refused_);
            servedIndexes_ = std::move(health->servedIndexes);
            servedLayouts_ = std::move(health->servedLayouts);
        } else {
            ++requests_.counters().malformedReplies;
        }
    }
    if (control_ && control_->closed())
        closeControl();
    controlNext(now);
    pump(now);
}

void UpstreamDriver::onControlLost(Connection::Lost lost, const std::string& detail)
{
    const TimePoint now = BootClock::now();
    closeControl();
    if (lost == Connection::Lost::Refused) {
        connectFailed(now, detail);
        return;
    }
    if (lost == Connection::Lost::Malformed) {
        ++requests_.counters().malformedReplies;
    } else {
        admission_.observeColdEvidence(ColdEvidence::ConnectionReset, now, refused_);
    }
    schedule(now + shortestBackoff);
    pump(now);
}

void UpstreamDriver::closeControl()
{
    if (control_)
        control_->close();
    control_.reset();
    controlTask_ = ControlTask::None;
    controlWaitUntil_ = TimePoint::max();
}

TargetStatus UpstreamDriver::status(TimePoint now) const
{
    TargetStatus status;
    status.upstream = id();
    status.cold = admission_.cold();
    status.limit = admission_.limit(now);
    status.running = admission_.running();
    status.queued = admission_.queued();
    status.connections = static_cast<unsigned>(lanes_.size()) + (control_ ? 1 : 0);
    status.servedIndexes = servedIndexes_;
    return status;
}

} // namespace banyancroft::home
