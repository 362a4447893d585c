#pragma once

#include "dispatcher_link.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace banyancroft::gateway {

/** An ingress VM's links to the dispatchers of its availability zone. Not thread-safe. */
class DispatcherPool {
public:
    /**
     * @param memory limits the frames; outlives the pool
     * @param upstreamLeaving called when a dispatcher tells that a replica is leaving
     */
    DispatcherPool(boost::asio::io_context& ioContext, MemoryAccount& memory,
        DispatcherLink::LeavingHandler upstreamLeaving)
        : ioContext_(ioContext)
        , memory_(memory)
        , upstreamLeaving_(std::move(upstreamLeaving))
    {
    }
    ~DispatcherPool();
    DispatcherPool(const DispatcherPool&) = delete;
    DispatcherPool& operator=(const DispatcherPool&) = delete;

    /** Replaces the dispatchers; requests at those that are missing now are still answered by them. */
    void setDispatchers(std::vector<Dispatcher> dispatchers, TimePoint now);
    void tick(TimePoint now);

    /**
     * @param excluded links that were already asked
     * @param random uniform in [0, 1)
     * @return nullptr if no dispatcher can be asked
     */
    std::shared_ptr<DispatcherLink> choose(std::span<const std::shared_ptr<DispatcherLink>> excluded,
        const std::function<double()>& random) const;
    const std::vector<std::shared_ptr<DispatcherLink>>& links() const { return links_; }
    /** Link to one dispatcher; nullptr if it is not among them. */
    std::shared_ptr<DispatcherLink> find(const VmId& vm) const;
    /** True if at least one dispatcher can be asked. */
    bool hasUsable() const;
    /** Earliest time since which at least half of the dispatchers that can be asked report to be cut off;
     * empty if fewer do. */
    std::optional<TimePoint> cutOffSince() const;
    /** Mean utilization of the connected dispatchers. */
    double utilization() const;

private:
    boost::asio::io_context& ioContext_;
    MemoryAccount& memory_;
    const DispatcherLink::LeavingHandler upstreamLeaving_;
    std::vector<Dispatcher> dispatchers_;
    std::vector<std::shared_ptr<DispatcherLink>> links_;
    /** Links to former dispatchers that still have requests to answer. */
    std::vector<std::shared_ptr<DispatcherLink>> retired_;
};

} // namespace banyancroft::gateway
