#include "store_follower.h"

#include "run_after.h"
#include "telemetry/log.h"

#include <algorithm>

namespace banyancroft::gateway {

namespace {

using telemetry::log;
using telemetry::LogLevel;

/** How long the store waits for a change; a silent connection is noticed a little later. */
constexpr Duration changeWait = std::chrono::milliseconds(1000);
/** Pauses after failures in a row: short at first, since most are single lost answers. */
constexpr Duration firstRetry = std::chrono::milliseconds(50);
constexpr Duration longestRetry = std::chrono::milliseconds(500);

} // namespace

StoreFollower::StoreFollower(boost::asio::io_context& ioContext, store::PolledStore& store,
    std::string prefix, Duration pause, Hooks hooks, telemetry::Metrics& metrics)
    : timer_(ioContext)
    , store_(store)
    , prefix_(std::move(prefix))
    , pause_(pause)
    , hooks_(std::move(hooks))
    , calls_(metrics.counter("banyancroft_store_calls_total", "Calls to the store that follow its changes"))
    , failures_(metrics.counter("banyancroft_store_failures_total", "Calls to the store without an answer"))
    , lastAnswer_(BootClock::now())
{
}

void StoreFollower::start() { list(); }

void StoreFollower::noteAnswer()
{
    const auto now = BootClock::now();
    if (failuresInRow_ > 0) {
        log(LogLevel::Info, "store", "store answers again",
            { { "silent_ms", std::to_string(toMillis(now - lastAnswer_)) },
                { "revision", std::to_string(revision_.value) } });
        hooks_.returned();
    }
    failuresInRow_ = 0;
    lastAnswer_ = now;
}

Duration StoreFollower::noteFailure(const Error& reason)
{
    failures_.add();
    if (failuresInRow_ == 0)
        log(LogLevel::Warn, "store", "store does not answer",
            { { "reason", toString(reason) }, { "revision", std::to_string(revision_.value) } });
    const auto pause = firstRetry * (1U << std::min(failuresInRow_, 4U));
    ++failuresInRow_;
    return std::min<Duration>(pause, longestRetry);
}

void StoreFollower::list()
{
    calls_.add();
    store_.list(prefix_, [this](std::optional<store::Listing> listing, const Error& reason) {
        if (!listing)
            return runAfter(timer_, noteFailure(reason), [this] { list(); });
        noteAnswer();
        revision_ = listing->revision;
        log(LogLevel::Info, "store", "store listed",
            { { "keys", std::to_string(listing->entries.size()) },
                { "revision", std::to_string(revision_.value) } });
        hooks_.listed(listing->entries);
        runAfter(timer_, pause_, [this] { poll(); });
    });
}

void StoreFollower::poll()
{
    calls_.add();
    store_.pollChanges(
        prefix_, revision_, changeWait, [this](std::optional<store::Listing> changes, const Error& reason) {
            if (!changes && reason.kind == ErrorKind::NotFound) {
                noteAnswer();
                log(LogLevel::Warn, "store", "history is gone, listing anew",
                    { { "revision", std::to_string(revision_.value) } });
                return list();
            }
            if (!changes)
                return runAfter(timer_, noteFailure(reason), [this] { poll(); });
            noteAnswer();
            revision_ = std::max(revision_, changes->revision);
            hooks_.changed(changes->entries);
            runAfter(timer_, pause_, [this] { poll(); });
        });
}

} // namespace banyancroft::gateway
