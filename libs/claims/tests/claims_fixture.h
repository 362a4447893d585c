#pragma once

#include "claims/claims.h"
#include "store/fake_store.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace banyancroft::claims {

/** Runs the Claims of several daemons against one FakeStore in virtual time. */
class ClaimsFixture {
public:
    explicit ClaimsFixture(std::size_t daemons)
        : daemons_(daemons)
    {
        for (std::size_t daemon = 0; daemon < daemons; ++daemon)
            restart(daemon);
    }

    store::FakeStore& store() { return store_; }
    TimePoint now() const { return now_; }

    /** Replaces a daemon by a new incarnation without state; timers of the previous one have no effect. */
    void restart(std::size_t daemon)
    {
        auto& slot = daemons_[daemon];
        slot.claims = std::make_unique<Claims>(store_, "claims/",
            Claims::Hooks { [this] { return now_; },
                [this](Duration delay, std::function<void()> function) {
                    timers_.emplace(now_ + delay, std::move(function));
                },
                [this] { return ++lastRandom_; } });
    }

    Claims& claims(std::size_t daemon) { return *daemons_[daemon].claims; }

    /** Claims a key, runs the store until it is idle and returns the answer; empty when there is none. */
    std::optional<ClaimAnswer> claim(
        std::size_t daemon, const std::string& key, const std::string& payload = "{}")
    {
        auto answer = std::make_shared<std::optional<ClaimAnswer>>();
        claims(daemon).claim(ServiceId("ledger"), IdempotencyKey(key), fingerprintOf("credit", payload),
            now_ + std::chrono::seconds(2), [answer](ClaimAnswer result) { *answer = std::move(result); });
        runStore();
        return *answer;
    }

    void runStore() { store_.run(now_); }

    void advance(Duration duration)
    {
        now_ += duration;
        while (!timers_.empty() && timers_.begin()->first <= now_) {
            auto function = timers_.extract(timers_.begin()).mapped();
            function();
            runStore();
        }
        runStore();
    }

private:
    struct Slot {
        std::unique_ptr<Claims> claims;
    };

    store::FakeStore store_;
    std::vector<Slot> daemons_;
    std::multimap<TimePoint, std::function<void()>> timers_;
    TimePoint now_ { std::chrono::hours(1) };
    std::uint64_t lastRandom_ = 0;
};

} // namespace banyancroft::claims
