#include "admission/upstream_admission.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <map>

using namespace banyancroft;
using namespace banyancroft::admission;
using namespace std::chrono_literals;

namespace {

/**
 * Reference model of the limits. Shares no code with the library: counts completed answers since the last
 * evidence of a cold start and keeps the queued requests in a map.
 */
struct ReferenceModel {
    /** Above any limit in this test. */
    static constexpr unsigned noReportedLimit = 99;

    unsigned slots = 4;
    unsigned coldLimit = 1;
    unsigned step = 3;
    unsigned answersSinceEvidence = 0;
    /** Slots in the last health report that lowered the limit, and the completed answers since then. */
    unsigned reportedSlots = noReportedLimit;
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

    void observeColdEvidence()
    {
        answersSinceEvidence = 0;
        reportedSlots = noReportedLimit;
    }
    unsigned upstreamLimit() const
    {
        return std::min(
            { slots, coldLimit + answersSinceEvidence / step, reportedSlots + answersSinceReport / step });
    }
    bool warm() const { return coldLimit + answersSinceEvidence / step >= slots; }

    /** Maximum number of concurrent requests of this home at `now`. */
    unsigned allowed(TimePoint now) const
    {
        if (stopped || draining || share == Share::None || now >= validUntil)
            return 0;
        unsigned most = upstreamLimit();
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
    Run() { setAuthority(1003); }

    std::string bootName() const { return "boot-" + std::to_string(model.boot); }

    void collectRefusals()
    {
        for (const Refusal& refusal : refused)
            model.removeQueued(refusal.request);
        refused.clear();
    }

    void offer(unsigned argument)
    {
        const TimePoint deadline = now + std::chrono::milliseconds(argument % 60);
        ++lastRequest;
        if (!admission.offer(lastRequest, deadline, now, refused))
            model.queue.emplace(deadline, lastRequest);
    }

    void send(unsigned argument)
    {
        const ConnectionTrust trust
            = argument % 3 == 0 ? ConnectionTrust::Unverified : ConnectionTrust::Verified;
        const auto request = admission.start(trust, now, refused);
        collectRefusals();
        if (!request)
            return;
        const auto earliest = model.queue.begin();
        RC_ASSERT(earliest->second == *request || earliest->first == deadlineOf(*request));
        RC_ASSERT(deadlineOf(*request) > now);
        model.removeQueued(*request);
        ++model.running;
        RC_ASSERT(model.running <= model.allowed(now));
        if (trust == ConnectionTrust::Unverified) {
            RC_ASSERT(++model.unverified <= model.coldLimit);
            RC_ASSERT(model.share != Share::UncertainHalf);
        }
    }

    TimePoint deadlineOf(RequestHandle request) const
    {
        for (const auto& [deadline, each] : model.queue) {
            if (each == request)
                return deadline;
        }
        RC_FAIL("request is not queued");
        return {};
    }

    void finish(unsigned argument)
    {
        if (model.running == 0)
            return;
        const bool unverified = model.unverified > 0 && argument % 2 == 0;
        model.unverified -= unverified ? 1 : 0;
        --model.running;
        admission.finish(unverified ? ConnectionTrust::Unverified : ConnectionTrust::Verified);
        UpstreamAnswer answer { {}, true, false, false, std::chrono::milliseconds(argument % 7) };
        if (argument % 40 == 7)
            ++model.boot;
        const std::string boot = bootName();
        answer.boot = boot;
        answer.cold = argument % 40 == 3;
        answer.completed = argument % 4 != 1;
        if (argument % 40 == 7 || answer.cold)
            model.observeColdEvidence();
        const unsigned completedWarm = answer.completed && !answer.cold ? 1 : 0;
        model.answersSinceEvidence += completedWarm;
        model.answersSinceReport += completedWarm;
        admission.observeAnswer(answer, now, refused);
    }

    void setAuthority(unsigned argument)
    {
        const auto share = argument % 8 < 3 ? static_cast<Share>(argument % 8) : Share::Full;
        if (model.share == Share::None && share != Share::None)
            model.observeColdEvidence();
        model.share = share;
        model.validUntil = now + std::chrono::milliseconds(argument);
        model.inherited = argument % 5 == 0 ? 1 : 0;
        model.inheritedUntil = now + std::chrono::milliseconds(argument % 50);
        admission.setAuthority(
            { share, model.validUntil, model.inherited, model.inheritedUntil }, now, refused);
    }

    void reportHealth(unsigned argument)
    {
        HealthReport health { bootName(), argument % 7 == 0, argument % 11 == 5, argument % 5, 100 };
        if (health.cold || (model.draining && !health.draining))
            model.observeColdEvidence();
        model.draining = health.draining;
        if (health.slots > 0 && health.slots < model.upstreamLimit()) {
            model.reportedSlots = health.slots;
            model.answersSinceReport = 0;
        }
        admission.observeHealthReport(health, now, refused);
    }

    void signalColdStartOrStop(unsigned argument)
    {
        if (argument % 2 == 0) {
            model.observeColdEvidence();
            admission.observeColdEvidence(static_cast<ColdEvidence>(argument % 3), now, refused);
            return;
        }
        const bool stop = argument % 8 == 1;
        if (model.stopped && !stop)
            model.observeColdEvidence();
        model.stopped = stop;
        admission.setStopReason(stop ? Reason::ZoneOut : Reason::None, now, refused);
    }

    void step(unsigned operation, unsigned argument)
    {
        // Sends and answers are frequent enough for the limit to reach the declared slots.
        if (operation < 30) {
            offer(argument);
        } else if (operation < 60) {
            send(argument);
        } else if (operation < 85) {
            finish(argument);
        } else if (operation < 90) {
            now += std::chrono::milliseconds(argument % 20);
        } else if (operation < 94) {
            setAuthority(argument);
        } else if (operation < 96) {
            reportHealth(argument);
        } else if (operation < 97) {
            signalColdStartOrStop(argument);
        } else if (!model.queue.empty()) {
            const RequestHandle request
                = std::next(model.queue.begin(), argument % model.queue.size())->second;
            RC_ASSERT(admission.removeQueued(request));
            model.removeQueued(request);
        }
        collectRefusals();
        RC_ASSERT(admission.running() == model.running);
        RC_ASSERT(admission.queued() == model.queue.size());
        RC_ASSERT(admission.limit(now) <= model.allowed(now));
        if (model.share == Share::Full)
            RC_ASSERT(admission.limit(now) == model.allowed(now));
        if (model.allowed(now) == model.slots)
            ++warmSteps;
    }

    ReferenceModel model;
    UpstreamAdmission admission { { 4, 1, 3 }, 16 };
    TimePoint now { 1h };
    std::vector<Refusal> refused;
    RequestHandle lastRequest = 0;
    int warmSteps = 0;
};

} // namespace

// Guards against a sequence of restarts, answers, authority changes and expiries that exceeds the limit of an
// upstream or loses a queued request.
BOOST_AUTO_TEST_CASE(noEventSequenceExceedsTheLimitOrLosesARequest)
{
    int warmSteps = 0;
    const bool held = rc::check("no event sequence exceeds the limit or loses a request", [&warmSteps] {
        const auto steps = *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
            1000, rc::gen::pair(rc::gen::inRange(0U, 100U), rc::gen::inRange(0U, 1000U)));
        Run run;
        for (const auto& [operation, argument] : steps)
            run.step(operation, argument);
        warmSteps += run.warmSteps;
    });
    BOOST_TEST(held);
    // Without steps at the full limit the run would not cover the ramp from cold to warm.
    BOOST_TEST(warmSteps > 1000);
}
