#include "replica.h"

#include <algorithm>
#include <thread>

namespace banyancroft::review2 {

namespace {

std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

constexpr unsigned queueLength = 4;
constexpr auto idleTimeout = std::chrono::seconds(60);

} // namespace

Replica::Replica(const std::string& ip, Options options, Record& record)
    : options_(std::move(options))
    , record_(record)
    , born_(unixMilliseconds() - 60'000)
    , listener_(std::make_unique<Listener>(
          ip, [this](const std::shared_ptr<Connection>& connection) { serve(connection); }))
{
}

Replica::~Replica() { exit(); }

nlohmann::json Replica::entry(unsigned warmupLeftMs) const
{
    const std::lock_guard lock(mutex_);
    return { { "service", options_.service }, { "address", listener_->address().text() },
        { "zone", options_.zone }, { "version", "1.0" }, { "slots", options_.slots }, { "state", "ready" },
        { "warmupLeftMs", warmupLeftMs }, { "seq", seq_ }, { "born", born_ } };
}

void Replica::crash()
{
    const std::lock_guard lock(mutex_);
    isDown_ = true;
    for (const auto& connection : connections_)
        connection->reset();
    atWork_.clear();
    record_.line("replica " + options_.id + ": crashes");
}

void Replica::startAgain(Milliseconds cold)
{
    const std::lock_guard lock(mutex_);
    isDown_ = false;
    born_ = unixMilliseconds();
    seq_ = 1;
    warmAt_ = Clock::now() + cold;
    record_.line("replica " + options_.id + ": starts again, cold");
}

void Replica::exit()
{
    const std::lock_guard lock(mutex_);
    if (hasExited_)
        return;
    hasExited_ = true;
    listener_->close();
    for (const auto& [attempt, since] : atWork_)
        brokenOff_.push_back(attempt);
    for (const auto& connection : connections_)
        connection->shutdown();
    record_.line("replica " + options_.id + ": exits");
}

std::vector<Arrival> Replica::arrivals() const
{
    const std::lock_guard lock(mutex_);
    return arrivals_;
}

std::vector<std::string> Replica::brokenOff() const
{
    const std::lock_guard lock(mutex_);
    return brokenOff_;
}

bool Replica::takeSlot()
{
    std::unique_lock lock(mutex_);
    if (waiting_ >= queueLength)
        return false;
    ++waiting_;
    slotFreed_.wait(lock, [this] { return running_ < options_.slots; });
    --waiting_;
    ++running_;
    return true;
}

void Replica::serve(const std::shared_ptr<Connection>& connection)
{
    {
        const std::lock_guard lock(mutex_);
        if (isDown_)
            return connection->reset();
        connections_.insert(connection);
    }
    while (const auto request = connection->read(idleTimeout)) {
        const auto attempt = request->field("x-attempt-id");
        const auto expected = request->field("x-expect-instance");
        std::string answer;
        if (request->path() == "/health") {
            const auto left = std::chrono::duration_cast<Milliseconds>(warmAt_ - Clock::now()).count();
            answer = response(200,
                { { "X-Instance-Id", options_.id },
                    { "X-Server-Load", "0,0," + std::to_string(options_.slots) },
                    { "X-Warmup-Ms", std::to_string(std::max<std::int64_t>(left, 0)) } },
                "");
        } else if (attempt.empty()) {
            answer = response(400, { { "X-Not-Executed", "1" } }, "");
        } else {
            const bool isExpected = expected.empty() || expected == options_.id;
            const bool isRun = isExpected && takeSlot();
            const Arrival arrival { seconds(), options_.id, request->startLine, attempt, request->body.size(),
                isRun };
            {
                const std::lock_guard lock(mutex_);
                if (hasExited_ || isDown_) {
                    running_ -= isRun ? 1 : 0;
                    slotFreed_.notify_one();
                    break;
                }
                arrivals_.push_back(arrival);
                if (isRun)
                    atWork_[attempt] = arrival.at;
            }
            record_.line("replica " + options_.id + (isRun ? ": runs " : ": refuses ") + attempt + " ("
                + request->startLine + ", body of " + std::to_string(request->body.size()) + ")");
            if (isRun) {
                std::this_thread::sleep_for(options_.work);
                answer = response(200,
                    { { "X-Attempt-Id", attempt }, { "X-Response-Stamp", options_.id + "." + attempt } },
                    std::string(options_.answerSize, 'a'));
                const std::lock_guard lock(mutex_);
                --running_;
                slotFreed_.notify_one();
                if (hasExited_ || isDown_)
                    break;
                atWork_.erase(attempt);
            } else {
                answer = response(
                    isExpected ? 503 : 421, { { "X-Attempt-Id", attempt }, { "X-Not-Executed", "1" } }, "");
            }
        }
        if (!connection->write(answer))
            break;
    }
    const std::lock_guard lock(mutex_);
    connections_.erase(connection);
}

} // namespace banyancroft::review2
