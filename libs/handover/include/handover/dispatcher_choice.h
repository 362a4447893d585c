#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <span>

namespace banyancroft::handover {

/** A dispatcher as seen by an ingress VM. */
struct DispatcherLoad {
    /** Connected, accepting, and not waiting for an overdue response. */
    bool usable = false;
    /** Processor cores of the VM; may be fractional. */
    double processors = 1;
    /** Requests of this ingress VM that are offered to it or have begun there. */
    std::size_t outstanding = 0;
    /** As reported by the dispatcher, 0 to 1. */
    double utilization = 0;
};

/**
 * Chooses a dispatcher by two random choices in proportion to the processors, of which the less loaded one is
 * taken. Spreads requests over dispatchers of different size although each ingress VM sees only its own
 * requests.
 * @param random uniform in [0, 1)
 * @return index of the dispatcher; empty if none is usable
 */
template <typename Random>
std::optional<std::size_t> chooseDispatcher(std::span<const DispatcherLoad> dispatchers, Random random)
{
    double total = 0;
    for (const auto& dispatcher : dispatchers)
        total += dispatcher.usable ? dispatcher.processors : 0;
    const auto draw = [&]() -> std::optional<std::size_t> {
        std::optional<std::size_t> last;
        double point = random() * total;
        for (std::size_t i = 0; i < dispatchers.size(); ++i) {
            if (!dispatchers[i].usable)
                continue;
            last = i;
            point -= dispatchers[i].processors;
            if (point < 0)
                break;
        }
        return last;
    };
    const auto load = [&](std::size_t index) {
        const auto& dispatcher = dispatchers[index];
        return (static_cast<double>(dispatcher.outstanding) + 1) / std::max(dispatcher.processors, 0.01)
            / std::max(1 - dispatcher.utilization, 0.05);
    };
    const auto first = draw();
    const auto second = draw();
    if (!first || !second)
        return std::nullopt;
    return load(*second) < load(*first) ? second : first;
}

} // namespace banyancroft::handover
