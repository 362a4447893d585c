#include "home/home.h"

#include "request_table.h"
#include "upstream_driver.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <random>
#include <unordered_map>
#include <utility>

namespace banyancroft::home {

namespace {

/** Longest remaining time that a message may give; a corrupt value could overflow the deadline. */
constexpr std::uint64_t maxRemainingMicros = 3'600'000'000;

TimePoint deadlineOf(std::uint64_t remainingMicros, TimePoint now)
{
    return now + std::chrono::microseconds(std::min(remainingMicros, maxRemainingMicros));
}

} // namespace

class Home::Impl {
public:
    explicit Impl(boost::asio::io_context& ioContext)
        : ioContext_(ioContext)
        , requests_(ioContext)
        , random_(std::random_device {}())
    {
    }

    void apply(const config::Policy& policy, std::span<const Target> targets);
    UpstreamDriver* find(const UpstreamId& upstream) const
    {
        const auto found = drivers_.find(upstream);
        return found == drivers_.end() ? nullptr : found->second.get();
    }
    void add(const std::shared_ptr<Query>& query, wire::SequenceNumber sequence, const UpstreamId& upstream,
        std::vector<ShardId> shards, TimePoint deadline, TimePoint now);
    void pumpDrivers(TimePoint now);
    void cancel(const wire::Cancel& cancel, Origin origin, TimePoint now);
    Counters counters() const;

    boost::asio::io_context& ioContext_;
    RequestTable requests_;
    std::mt19937_64 random_;
    std::unordered_map<UpstreamId, std::unique_ptr<UpstreamDriver>> drivers_;
    std::vector<UpstreamDriver*> driversToPump_;
    std::uint64_t retiredColdStarts_ = 0;
    /** Expires with this object; handlers posted to the event loop check it before they run. */
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

private:
    void removeFinished();
};

void Home::Impl::apply(const config::Policy& policy, std::span<const Target> targets)
{
    const TimePoint now = BootClock::now();
    std::unordered_map<UpstreamId, const Target*> wanted;
    for (const Target& target : targets)
        wanted.emplace(target.upstream.id, &target);
    for (const auto& [id, driver] : drivers_) {
        if (wanted.contains(id))
            continue;
        driver->retire(now, [this, alive = std::weak_ptr<bool>(alive_)] {
            boost::asio::post(ioContext_, [this, alive] {
                if (!alive.expired())
                    removeFinished();
            });
        });
    }
    for (const Target& target : targets) {
        auto& driver = drivers_[target.upstream.id];
        if (!driver)
            driver = std::make_unique<UpstreamDriver>(ioContext_, requests_, random_, target, policy);
        driver->apply(target, policy, now);
    }
}

void Home::Impl::removeFinished()
{
    std::erase_if(drivers_, [this](const auto& entry) {
        if (!entry.second->finished())
            return false;
        retiredColdStarts_ += entry.second->coldStarts();
        return true;
    });
}

void Home::Impl::add(const std::shared_ptr<Query>& query, wire::SequenceNumber sequence,
    const UpstreamId& upstream, std::vector<ShardId> shards, TimePoint deadline, TimePoint now)
{
    ++requests_.counters().accepted;
    UpstreamDriver* driver = find(upstream);
    if (driver == nullptr) {
        wire::SubreplyItem item;
        item.sequence = sequence;
        item.upstream = upstream;
        item.reason = Reason::WrongHome;
        requests_.deliver(query, std::move(item));
        return;
    }
    Request request;
    request.state = Request::State::Queued;
    request.query = query;
    request.sequence = sequence;
    request.shards = std::move(shards);
    request.accepted = now;
    request.deadline = deadline;
    driver->enqueue(requests_.add(std::move(request)), now);
    driversToPump_.push_back(driver);
}

void Home::Impl::pumpDrivers(TimePoint now)
{
    for (UpstreamDriver* driver : driversToPump_)
        driver->pump(now);
    driversToPump_.clear();
}

void Home::Impl::cancel(const wire::Cancel& cancel, Origin origin, TimePoint now)
{
    std::vector<std::pair<RequestHandle, UpstreamDriver*>> found;
    requests_.forEach([&](RequestHandle handle, const Request& request) {
        if (request.query->origin == origin && request.query->number == cancel.query
            && std::find(cancel.sequences.begin(), cancel.sequences.end(), request.sequence)
                != cancel.sequences.end())
            found.emplace_back(handle, request.driver);
    });
    for (const auto& [handle, driver] : found)
        driver->cancel(handle, now);
}

Counters Home::Impl::counters() const
{
    Counters counters = requests_.counters();
    counters.coldStarts = retiredColdStarts_;
    for (const auto& [id, driver] : drivers_)
        counters.coldStarts += driver->coldStarts();
    return counters;
}

Home::Home(boost::asio::io_context& ioContext)
    : impl_(std::make_unique<Impl>(ioContext))
{
}

Home::~Home() = default;

void Home::apply(const config::Policy& policy, std::span<const Target> targets)
{
    impl_->apply(policy, targets);
}

void Home::setAuthority(const UpstreamId& upstream, const Authority& authority)
{
    if (UpstreamDriver* driver = impl_->find(upstream))
        driver->setAuthority(authority, BootClock::now());
}

void Home::search(wire::SubrequestBatch batch, Origin origin, TimePoint now, ReplyHandler onReply)
{
    const TimePoint deadline = deadlineOf(batch.remainingMicros, now);
    auto items = std::exchange(batch.items, {});
    auto query = std::make_shared<Query>();
    query->number = batch.query;
    query->origin = origin;
    query->onReply = std::move(onReply);
    query->message = std::move(batch);
    for (wire::SubrequestItem& item : items)
        impl_->add(query, item.sequence, item.upstream, std::move(item.shards), deadline, now);
    impl_->pumpDrivers(now);
}

void Home::submit(wire::SubmitRequest request, Origin origin, TimePoint now, ReplyHandler onReply)
{
    const TimePoint deadline = deadlineOf(request.remainingMicros, now);
    const wire::SequenceNumber sequence = request.sequence;
    const UpstreamId upstream = request.upstream;
    auto query = std::make_shared<Query>();
    query->number = request.query;
    query->origin = origin;
    query->onReply = std::move(onReply);
    query->message = std::move(request);
    impl_->add(query, sequence, upstream, {}, deadline, now);
    impl_->pumpDrivers(now);
}

void Home::cancel(const wire::Cancel& cancel, Origin origin, TimePoint now)
{
    impl_->cancel(cancel, origin, now);
}

unsigned Home::inFlight(const UpstreamId& upstream) const
{
    const UpstreamDriver* driver = impl_->find(upstream);
    return driver == nullptr ? 0 : driver->inFlight();
}

unsigned Home::inFlight() const
{
    unsigned sum = 0;
    for (const auto& [id, driver] : impl_->drivers_)
        sum += driver->inFlight();
    return sum;
}

std::vector<TargetStatus> Home::status() const
{
    const TimePoint now = BootClock::now();
    std::vector<TargetStatus> statuses;
    statuses.reserve(impl_->drivers_.size());
    for (const auto& [id, driver] : impl_->drivers_)
        statuses.push_back(driver->status(now));
    return statuses;
}

Counters Home::counters() const { return impl_->counters(); }

} // namespace banyancroft::home
