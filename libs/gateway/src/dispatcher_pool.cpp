#include "dispatcher_pool.h"

#include <algorithm>
#include <iterator>

namespace banyancroft::gateway {

DispatcherPool::~DispatcherPool()
{
    for (const auto& link : links_)
        link->close();
    for (const auto& link : retired_)
        link->close();
}

void DispatcherPool::setDispatchers(std::vector<Dispatcher> dispatchers, TimePoint now)
{
    if (dispatchers == dispatchers_)
        return;
    dispatchers_ = std::move(dispatchers);
    std::vector<std::shared_ptr<DispatcherLink>> links;
    for (const auto& dispatcher : dispatchers_) {
        const auto known = std::find_if(
            links_.begin(), links_.end(), [&](const auto& link) { return link->dispatcher() == dispatcher; });
        links.push_back(known != links_.end()
                ? *known
                : std::make_shared<DispatcherLink>(ioContext_, memory_, dispatcher, upstreamLeaving_));
    }
    std::copy_if(links_.begin(), links_.end(), std::back_inserter(retired_),
        [&](const auto& link) { return std::find(links.begin(), links.end(), link) == links.end(); });
    links_ = std::move(links);
    tick(now);
}

void DispatcherPool::tick(TimePoint now)
{
    for (const auto& link : links_)
        link->tick(now);
    const auto finished = std::partition(
        retired_.begin(), retired_.end(), [](const auto& link) { return link->load().outstanding > 0; });
    for (auto link = finished; link != retired_.end(); ++link)
        (*link)->close();
    retired_.erase(finished, retired_.end());
}

std::shared_ptr<DispatcherLink> DispatcherPool::choose(
    std::span<const std::shared_ptr<DispatcherLink>> excluded, const std::function<double()>& random) const
{
    std::vector<handover::DispatcherLoad> loads;
    loads.reserve(links_.size());
    for (const auto& link : links_) {
        loads.push_back(link->load());
        if (std::find(excluded.begin(), excluded.end(), link) != excluded.end())
            loads.back().usable = false;
    }
    const auto index = handover::chooseDispatcher(loads, random);
    return index ? links_[*index] : nullptr;
}

std::shared_ptr<DispatcherLink> DispatcherPool::find(const VmId& vm) const
{
    const auto found = std::find_if(
        links_.begin(), links_.end(), [&](const auto& link) { return link->dispatcher().vm == vm; });
    return found == links_.end() ? nullptr : *found;
}

bool DispatcherPool::hasUsable() const
{
    return std::any_of(links_.begin(), links_.end(), [](const auto& link) { return link->load().usable; });
}

std::optional<TimePoint> DispatcherPool::cutOffSince() const
{
    std::optional<TimePoint> earliest;
    std::size_t usable = 0;
    std::size_t cutOff = 0;
    for (const auto& link : links_) {
        if (!link->load().usable)
            continue;
        ++usable;
        if (const auto since = link->cutOffSince()) {
            ++cutOff;
            earliest = std::min(earliest.value_or(*since), *since);
        }
    }
    return 2 * cutOff >= usable ? earliest : std::nullopt;
}

double DispatcherPool::utilization() const
{
    double sum = 0;
    std::size_t count = 0;
    for (const auto& link : links_) {
        if (!link->isAccepting())
            continue;
        sum += link->utilization();
        ++count;
    }
    return count > 0 ? sum / static_cast<double>(count) : 0;
}

} // namespace banyancroft::gateway
