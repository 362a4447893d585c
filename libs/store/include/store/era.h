#pragma once

#include "base/error.h"
#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace banyancroft::store {

/** Number of times that the store was restored from a copy. Revisions and leases of two eras are unrelated.
 */
using StoreEra = NumberId<struct StoreEraTag>;

/**
 * Newest era that a client of the store knows, from the answers of the store and from other VMs.
 *
 * The era never falls. An answer whose statement of the era is invalid counts as of the era in which its
 * question was asked, so that a faulty proxy neither hides the store nor looks like a restored one.
 */
class EraTracker {
public:
    StoreEra current() const { return current_; }
    /**
     * Determines the era of an answer and raises the current era to it. An answer of an earlier era is valid
     * if it is not older than its question: it was on its way while the newer era became known.
     * @param stated era as stated in the answer; empty if the answer states none, which is valid in era 0
     * @param askedIn current era when the question was sent
     */
    StoreEra observe(std::optional<std::string_view> stated, StoreEra askedIn);
    /** Another VM has seen this era. */
    void learn(StoreEra era);

    /** Number of answers with an invalid era. */
    std::uint64_t invalidAnswers() const { return invalidAnswers_; }
    /** Describes the last answer with an invalid era. */
    const Error& lastProblem() const { return lastProblem_; }

private:
    StoreEra reject(std::string_view problem, StoreEra askedIn);

    StoreEra current_;
    std::uint64_t invalidAnswers_ = 0;
    Error lastProblem_;
};

} // namespace banyancroft::store
