#include "claims_fixture.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace banyancroft;
using namespace banyancroft::claims;

namespace {

constexpr std::size_t daemonCount = 3;
constexpr std::size_t keyCount = 2;

/** The system under test: the Claims of several daemons, and which of their requests may have run. */
struct System {
    ClaimsFixture fixture { daemonCount };
    struct Held {
        std::size_t daemon = 0;
        std::size_t key = 0;
        HeldClaim claim;
    };
    std::vector<Held> held;
    /** Keys whose request may have run. */
    std::set<std::size_t> mayHaveRun;
    /** Number of daemons that hold the key and may still send its request. */
    std::map<std::size_t, unsigned> holders;
    bool claimedTwice = false;
};

/** Empty, since the commands do not depend on a model of the state. */
struct Model { };

using Command = rc::state::Command<Model, System>;

struct Claim : Command {
    std::size_t daemon = *rc::gen::inRange<std::size_t>(0, daemonCount);
    std::size_t key = *rc::gen::inRange<std::size_t>(0, keyCount);

    void run(const Model&, System& system) const override
    {
        auto& claims = system.fixture.claims(daemon);
        claims.claim(ServiceId("ledger"), IdempotencyKey(std::to_string(key)), fingerprintOf("credit", "{}"),
            system.fixture.now() + std::chrono::seconds(2),
            [&system, daemon = daemon, key = key](const ClaimAnswer& answer) {
                if (answer.kind != ClaimAnswer::Kind::Held)
                    return;
                if (system.mayHaveRun.contains(key) || ++system.holders[key] > 1)
                    system.claimedTwice = true;
                system.held.push_back({ daemon, key, *answer.held });
            });
        RC_ASSERT(!system.claimedTwice);
    }
    void show(std::ostream& out) const override { out << "Claim(" << daemon << ", " << key << ")"; }
};

struct RunStore : Command {
    unsigned steps = *rc::gen::inRange(1U, 6U);

    void run(const Model&, System& system) const override
    {
        for (unsigned step = 0; step < steps; ++step)
            system.fixture.store().runOne(system.fixture.now());
        RC_ASSERT(!system.claimedTwice);
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
        system.fixture.claims(held.daemon).finish(held.claim, outcome, "1", {});
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
        // The stopped daemon may have sent the requests of the claims that it held.
        std::erase_if(system.held, [&](const auto& held) {
            if (held.daemon != daemon)
                return false;
            system.mayHaveRun.insert(held.key);
            return true;
        });
        system.fixture.restart(daemon);
    }
    void show(std::ostream& out) const override { out << "Restart(" << daemon << ")"; }
};

struct DisruptStore : Command {
    bool down = *rc::gen::arbitrary<bool>();
    unsigned lost = *rc::gen::inRange(0U, 3U);

    void run(const Model&, System& system) const override
    {
        system.fixture.store().setDown(down);
        system.fixture.store().loseNextResponses(lost);
    }
    void show(std::ostream& out) const override { out << "DisruptStore(" << down << ", " << lost << ")"; }
};

struct Advance : Command {
    unsigned millis = *rc::gen::element(10U, 1000U, 6000U);

    void run(const Model&, System& system) const override
    {
        system.fixture.advance(std::chrono::milliseconds(millis));
        RC_ASSERT(!system.claimedTwice);
    }
    void show(std::ostream& out) const override { out << "Advance(" << millis << ")"; }
};

} // namespace

// Lost replies, outages, restarts and slow stores in any order must never let two requests with the same key
// run.
BOOST_AUTO_TEST_CASE(keyIsNeverClaimedAgainAfterItsRequestMayHaveRun)
{
    const bool holds = rc::check("a key is held at most once", [] {
        Model model;
        System system;
        rc::state::check(model, system,
            rc::state::gen::execOneOfWithArgs<Claim, Claim, RunStore, RunStore, Finish, Restart, DisruptStore,
                Advance>());
    });
    BOOST_TEST(holds);
}
