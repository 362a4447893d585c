#include "claims_world.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace banyancroft;
using namespace banyancroft::claims;

namespace {

constexpr std::size_t daemonCount = 3;
constexpr std::size_t keyCount = 2;

/** The real claims of several daemons, and what their requests did as an upstream would see it. */
struct System {
    ClaimsWorld world { daemonCount };
    struct Held {
        std::size_t daemon = 0;
        std::size_t key = 0;
        HeldClaim claim;
    };
    std::vector<Held> held;
    /** Keys whose request may have run. */
    std::set<std::size_t> mayHaveRun;
    /** Number of daemons that hold the key and may still send. */
    std::map<std::size_t, unsigned> holders;
    bool doubled = false;
};

/** The oracle needs no state of its own to choose commands. */
struct Model { };

using Command = rc::state::Command<Model, System>;

struct Claim : Command {
    std::size_t daemon = *rc::gen::inRange<std::size_t>(0, daemonCount);
    std::size_t key = *rc::gen::inRange<std::size_t>(0, keyCount);

    void run(const Model&, System& system) const override
    {
        auto& claims = system.world.claims(daemon);
        claims.claim(ServiceId("ledger"), IdempotencyKey(std::to_string(key)), fingerprintOf("credit", "{}"),
            system.world.now() + std::chrono::seconds(2),
            [&system, daemon = daemon, key = key](const ClaimAnswer& answer) {
                if (answer.kind != ClaimAnswer::Kind::Held)
                    return;
                if (system.mayHaveRun.contains(key) || ++system.holders[key] > 1)
                    system.doubled = true;
                system.held.push_back({ daemon, key, *answer.held });
            });
        RC_ASSERT(!system.doubled);
    }
    void show(std::ostream& out) const override { out << "Claim(" << daemon << ", " << key << ")"; }
};

struct RunStore : Command {
    unsigned steps = *rc::gen::inRange(1U, 6U);

    void run(const Model&, System& system) const override
    {
        for (unsigned step = 0; step < steps; ++step)
            system.world.store().runOne(system.world.now());
        RC_ASSERT(!system.doubled);
    }
    void show(std::ostream& out) const override { out << "RunStore(" << steps << ")"; }
};

struct Finish : Command {
    std::size_t index = *rc::gen::inRange<std::size_t>(0, 8);
    Outcome outcome = *rc::gen::element(Outcome::Done, Outcome::NotRun, Outcome::Unknown);

    void run(const Model&, System& system) const override
    {
        if (system.held.empty())
            return;
        const auto position = system.held.begin() + static_cast<std::ptrdiff_t>(index % system.held.size());
        const auto held = *position;
        system.held.erase(position);
        if (outcome == Outcome::NotRun)
            --system.holders[held.key];
        else
            system.mayHaveRun.insert(held.key);
        system.world.claims(held.daemon).finish(held.claim, outcome, "1", {});
    }
    void show(std::ostream& out) const override
    {
        out << "Finish(" << index << ", " << toString(outcome) << ")";
    }
};

struct Restart : Command {
    std::size_t daemon = *rc::gen::inRange<std::size_t>(0, daemonCount);

    void run(const Model&, System& system) const override
    {
        // What the dead daemon held may have been sent.
        std::erase_if(system.held, [&](const auto& held) {
            if (held.daemon != daemon)
                return false;
            system.mayHaveRun.insert(held.key);
            return true;
        });
        system.world.restart(daemon);
    }
    void show(std::ostream& out) const override { out << "Restart(" << daemon << ")"; }
};

struct Disturb : Command {
    bool down = *rc::gen::arbitrary<bool>();
    unsigned lost = *rc::gen::inRange(0U, 3U);

    void run(const Model&, System& system) const override
    {
        system.world.store().setDown(down);
        system.world.store().loseNextResponses(lost);
    }
    void show(std::ostream& out) const override { out << "Disturb(" << down << ", " << lost << ")"; }
};

struct Advance : Command {
    unsigned millis = *rc::gen::element(10U, 1000U, 6000U);

    void run(const Model&, System& system) const override
    {
        system.world.advance(std::chrono::milliseconds(millis));
        RC_ASSERT(!system.doubled);
    }
    void show(std::ostream& out) const override { out << "Advance(" << millis << ")"; }
};

} // namespace

// Lost replies, outages, restarts and slow stores in any order must never give a key to two requests.
BOOST_AUTO_TEST_CASE(AKeyIsNeverHeldAgainAfterItMayHaveRun)
{
    const bool holds = rc::check("a key is held at most once", [] {
        Model model;
        System system;
        rc::state::check(model, system,
            rc::state::gen::execOneOfWithArgs<Claim, Claim, RunStore, RunStore, Finish, Restart, Disturb,
                Advance>());
    });
    BOOST_TEST(holds);
}
