#include "admission/upstream_admission.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <map>

using namespace banyancroft;
using namespace banyancroft::admission;
using namespace std::chrono_literals;

namespace {

/**
 * What an observer with a counter per fact would allow. Shares no code with the library: it counts completed
 * answers since the last evidence, and keeps queued work in a map.
 */
struct Oracle {
    unsigned slots = 4;
    unsigned coldLimit = 1;
    unsigned step = 3;
    unsigned answersSinceEvidence = 0;
    /** Slots that a report named when it lowered the limit, and the completed answers since then. */
    unsigned reported = 99;
    unsigned answersSinceReport = 0;
    int boot = 0;
    Share share = Share::None;
    TimePoint validUntil {};
    unsigned inherited = 0;
    TimePoint inheritedUntil {};
    bool stopped = false;
    bool draining = false;
    std::multimap<TimePoint, RequestHandle> queue;
    unsigned running = 0;
    unsigned unverified = 0;

    void evidence()
    {
        answersSinceEvidence = 0;
        reported = 99;
    }
    unsigned bears() const
    {
        return std::min(
            { slots, coldLimit + answersSinceEvidence / step, reported + answersSinceReport / step });
    }
    bool warm() const { return coldLimit + answersSinceEvidence / step >= slots; }

    /** Most requests that this home may have running after a start at `now`. */
    unsigned allowed(TimePoint now) const
    {
        if (stopped || draining || share == Share::None || now >= validUntil)
            return 0;
        unsigned most = bears();
        if (share == Share::UncertainHalf)
            most = warm() ? most / 2 : 0;
        if (share == Share::TakeoverRest)
            most = std::min(most, slots - slots / 2);
        const unsigned taken = now < inheritedUntil ? inherited : 0;
        return most > taken ? most - taken : 0;
    }

    void removeQueued(RequestHandle request)
    {
        const auto found = std::find_if(
            queue.begin(), queue.end(), [request](const auto& entry) { return entry.second == request; });
        RC_ASSERT(found != queue.end());
        queue.erase(found);
    }
};

struct Run {
    Run() { authority(1003); }

    std::string bootName() const { return "boot-" + std::to_string(oracle.boot); }

    void collectRefusals()
    {
        for (const Refusal& refusal : refused)
            oracle.removeQueued(refusal.request);
        refused.clear();
    }

    void offer(unsigned argument)
    {
        const TimePoint deadline = now + std::chrono::milliseconds(argument % 60);
        ++lastRequest;
        if (!admission.offer(lastRequest, deadline, now, refused))
            oracle.queue.emplace(deadline, lastRequest);
    }

    void send(unsigned argument)
    {
        const ConnectionTrust trust
            = argument % 3 == 0 ? ConnectionTrust::Unverified : ConnectionTrust::Verified;
        const auto request = admission.start(trust, now, refused);
        collectRefusals();
        if (!request)
            return;
        const auto earliest = oracle.queue.begin();
        RC_ASSERT(earliest->second == *request || earliest->first == deadlineOf(*request));
        RC_ASSERT(deadlineOf(*request) > now);
        oracle.removeQueued(*request);
        ++oracle.running;
        RC_ASSERT(oracle.running <= oracle.allowed(now));
        if (trust == ConnectionTrust::Unverified) {
            RC_ASSERT(++oracle.unverified <= oracle.coldLimit);
            RC_ASSERT(oracle.share != Share::UncertainHalf);
        }
    }

    TimePoint deadlineOf(RequestHandle request) const
    {
        for (const auto& [deadline, each] : oracle.queue) {
            if (each == request)
                return deadline;
        }
        RC_FAIL("request is not queued");
        return {};
    }

    void finish(unsigned argument)
    {
        if (oracle.running == 0)
            return;
        const bool unverified = oracle.unverified > 0 && argument % 2 == 0;
        oracle.unverified -= unverified ? 1 : 0;
        --oracle.running;
        admission.finish(unverified ? ConnectionTrust::Unverified : ConnectionTrust::Verified);
        UpstreamAnswer answer { {}, true, false, false, std::chrono::milliseconds(argument % 7) };
        if (argument % 40 == 7)
            ++oracle.boot;
        const std::string boot = bootName();
        answer.boot = boot;
        answer.cold = argument % 40 == 3;
        answer.completed = argument % 4 != 1;
        if (argument % 40 == 7 || answer.cold)
            oracle.evidence();
        const unsigned counts = answer.completed && !answer.cold ? 1 : 0;
        oracle.answersSinceEvidence += counts;
        oracle.answersSinceReport += counts;
        admission.observeAnswer(answer, now, refused);
    }

    void authority(unsigned argument)
    {
        const auto share = argument % 8 < 3 ? static_cast<Share>(argument % 8) : Share::Full;
        if (oracle.share == Share::None && share != Share::None)
            oracle.evidence();
        oracle.share = share;
        oracle.validUntil = now + std::chrono::milliseconds(argument);
        oracle.inherited = argument % 5 == 0 ? 1 : 0;
        oracle.inheritedUntil = now + std::chrono::milliseconds(argument % 50);
        admission.setAuthority(
            { share, oracle.validUntil, oracle.inherited, oracle.inheritedUntil }, now, refused);
    }

    void report(unsigned argument)
    {
        HealthReport health { bootName(), argument % 7 == 0, argument % 11 == 5, argument % 5, 100 };
        if (health.cold || (oracle.draining && !health.draining))
            oracle.evidence();
        oracle.draining = health.draining;
        if (health.slots > 0 && health.slots < oracle.bears()) {
            oracle.reported = health.slots;
            oracle.answersSinceReport = 0;
        }
        admission.observeHealthReport(health, now, refused);
    }

    void disturb(unsigned argument)
    {
        if (argument % 2 == 0) {
            oracle.evidence();
            admission.observeColdEvidence(static_cast<ColdEvidence>(argument % 3), now, refused);
            return;
        }
        const bool stop = argument % 8 == 1;
        if (oracle.stopped && !stop)
            oracle.evidence();
        oracle.stopped = stop;
        admission.setStopReason(stop ? Reason::ZoneOut : Reason::None, now, refused);
    }

    void step(unsigned operation, unsigned argument)
    {
        // Answers and sends are frequent, so that the limit also reaches the slots.
        if (operation < 30) {
            offer(argument);
        } else if (operation < 60) {
            send(argument);
        } else if (operation < 85) {
            finish(argument);
        } else if (operation < 90) {
            now += std::chrono::milliseconds(argument % 20);
        } else if (operation < 94) {
            authority(argument);
        } else if (operation < 96) {
            report(argument);
        } else if (operation < 97) {
            disturb(argument);
        } else if (!oracle.queue.empty()) {
            const RequestHandle request
                = std::next(oracle.queue.begin(), argument % oracle.queue.size())->second;
            RC_ASSERT(admission.removeQueued(request));
            oracle.removeQueued(request);
        }
        collectRefusals();
        RC_ASSERT(admission.running() == oracle.running);
        RC_ASSERT(admission.queued() == oracle.queue.size());
        RC_ASSERT(admission.limit(now) <= oracle.allowed(now));
        if (oracle.share == Share::Full)
            RC_ASSERT(admission.limit(now) == oracle.allowed(now));
        if (oracle.allowed(now) == oracle.slots)
            ++warmSteps;
    }

    Oracle oracle;
    UpstreamAdmission admission { { 4, 1, 3 }, 16 };
    TimePoint now { 1h };
    std::vector<Refusal> refused;
    RequestHandle lastRequest = 0;
    int warmSteps = 0;
};

} // namespace

// Some order of restarts, answers, hand-overs and lapses could let one request too many through, or lose one.
BOOST_AUTO_TEST_CASE(NoOrderOfEventsExceedsTheLimitsOrLosesWork)
{
    int warmSteps = 0;
    const bool held = rc::check("limits hold", [&warmSteps] {
        const auto steps = *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
            1000, rc::gen::pair(rc::gen::inRange(0U, 100U), rc::gen::inRange(0U, 1000U)));
        Run run;
        for (const auto& [operation, argument] : steps)
            run.step(operation, argument);
        warmSteps += run.warmSteps;
    });
    BOOST_TEST(held);
    // Without full limits the run would say nothing of the ramp.
    BOOST_TEST(warmSteps > 1000);
}
