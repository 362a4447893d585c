#include "replica.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <thread>

namespace review {

namespace {

constexpr Milliseconds idleTimeout(30'000);

} // namespace

std::string bodyFor(const std::string& attemptId) { return "records for " + attemptId + "\n"; }

std::string attemptOfStamp(const std::string& stamp)
{
    const auto begin = stamp.find('.');
    const auto end = stamp.rfind('.');
    return begin == std::string::npos || end <= begin ? std::string()
                                                      : stamp.substr(begin + 1, end - begin - 1);
}

Replica::Replica(Options options, Store& store, Record& record)
    : options_(std::move(options))
    , store_(store)
    , record_(record)
    , bornMillis_(
          std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch())
              .count())
    , server_(std::make_unique<Server>(options_.ip,
          [this](Connection& connection, const std::atomic<bool>& stop) { serve(connection, stop); }))
{
    registerSelf(Milliseconds(0));
}

Replica::~Replica() { server_.reset(); }

void Replica::registerSelf(Milliseconds warmupLeft)
{
    const nlohmann::json entry { { "service", options_.service }, { "address", server_->address().text() },
        { "zone", options_.zone }, { "version", "1" }, { "slots", options_.slots }, { "state", "ready" },
        { "warmupLeftMs", warmupLeft.count() }, { "seq", ++sequence_ }, { "born", bornMillis_ } };
    store_.put("servers/" + options_.id, entry.dump());
}

void Replica::turnCold(Milliseconds duration)
{
    {
        const std::lock_guard lock(mutex_);
        coldUntil_ = Clock::now() + duration;
    }
    record_.line("replica " + options_.id + " turns cold for " + std::to_string(duration.count()) + " ms");
    registerSelf(duration);
}

void Replica::unregister()
{
    store_.remove("servers/" + options_.id);
    record_.line("the entry of replica " + options_.id + " is removed");
}

void Replica::exit()
{
    ended_ = true;
    server_->end();
    record_.line("replica " + options_.id + " exits");
}

Milliseconds Replica::warmupLeft() const
{
    const std::lock_guard lock(mutex_);
    return std::max(std::chrono::duration_cast<Milliseconds>(coldUntil_ - Clock::now()), Milliseconds(0));
}

void Replica::checkColdRate()
{
    const auto now = record_.elapsed();
    if (options_.endsAtColdRate == 0 || Clock::now() >= coldUntil_ || ended_)
        return;
    const auto recent = std::count_if(arrivals_.begin(), arrivals_.end(),
        [&](const Arrival& arrival) { return arrival.at > now - Milliseconds(1000); });
    if (static_cast<std::size_t>(recent) < options_.endsAtColdRate)
        return;
    ended_ = true;
    record_.line(
        "replica " + options_.id + " ends after " + std::to_string(recent) + " requests in a second");
}

std::vector<Arrival> Replica::arrivals() const
{
    const std::lock_guard lock(mutex_);
    return arrivals_;
}

std::size_t Replica::copies() const
{
    const std::lock_guard lock(mutex_);
    return copies_;
}

void Replica::note(const std::string& attemptId, bool run)
{
    {
        const std::lock_guard lock(mutex_);
        arrivals_.push_back({ attemptId, options_.id, record_.elapsed(), run });
        checkColdRate();
    }
    record_.line("replica " + options_.id + (run ? " runs " : " refuses ") + attemptId);
}

bool Replica::takeSlot(const std::atomic<bool>& stop)
{
    std::unique_lock lock(mutex_);
    if (running_ >= options_.slots && waiting_ >= options_.queue)
        return false;
    ++waiting_;
    while (running_ >= options_.slots && !stop)
        slotFree_.wait_for(lock, Milliseconds(20));
    --waiting_;
    ++running_;
    return true;
}

void Replica::releaseSlot()
{
    const std::lock_guard lock(mutex_);
    --running_;
    slotFree_.notify_one();
}

Fields Replica::commonFields(const std::string& attemptId)
{
    const std::lock_guard lock(mutex_);
    return { { "X-Attempt-Id", attemptId },
        { "X-Server-Load",
            std::to_string(running_) + "," + std::to_string(waiting_) + ","
                + std::to_string(options_.slots) },
        { "Keep-Alive", "timeout=30" } };
}

void Replica::serve(Connection& connection, const std::atomic<bool>& stop)
{
    Message request;
    /** Copy of an earlier answer that is sent before the next one. */
    std::string pendingCopy;
    std::string pendingId;
    bool endsConnection = false;
    while (!stop && !ended_ && connection.read(request, false, idleTimeout, &stop) == ReadEnd::Complete) {
        if (ended_)
            return;
        const auto attemptId = request.field("X-Attempt-Id");
        if (!pendingCopy.empty()) {
            std::string text = "replica " + options_.id + " sends a second copy of the answer to ";
            text.append(pendingId).append(" where the answer to ").append(attemptId).append(" is expected");
            record_.line(text);
            {
                const std::lock_guard lock(mutex_);
                ++copies_;
            }
            connection.write(std::exchange(pendingCopy, {}));
            if (endsConnection)
                return connection.shutDownSending();
        }
        if (request.target() == "/health") {
            Fields health { { "X-Instance-Id", options_.id }, { "Content-Length", "0" } };
            if (const auto left = warmupLeft(); left > Milliseconds(0))
                health.emplace_back("X-Warmup-Ms", std::to_string(left.count()));
            connection.write(serialise("HTTP/1.1 200 OK", health, ""));
            continue;
        }
        auto fields = commonFields(attemptId);
        std::string startLine;
        std::string body;
        unsigned status = 200;
        if (attemptId.empty()) {
            status = 400;
            startLine = "HTTP/1.1 400 Bad Request";
            fields.emplace_back("X-Not-Executed", "1");
        } else if (request.field("X-Expect-Instance") != options_.id) {
            status = 421;
            startLine = "HTTP/1.1 421 Misdirected Request";
            fields.emplace_back("X-Not-Executed", "1");
            note(attemptId, false);
        } else if (!takeSlot(stop)) {
            status = 503;
            startLine = "HTTP/1.1 503 Service Unavailable";
            fields.emplace_back("X-Not-Executed", "1");
            note(attemptId, false);
        } else {
            note(attemptId, true);
            std::this_thread::sleep_for(options_.work);
            releaseSlot();
            if (ended_)
                return;
            startLine = "HTTP/1.1 200 OK";
            body = bodyFor(attemptId);
            const std::lock_guard lock(mutex_);
            fields.emplace_back(
                "X-Response-Stamp", options_.id + "." + attemptId + "." + std::to_string(++runs_));
        }
        const SecondCopy copy = options_.secondCopy ? options_.secondCopy(status) : SecondCopy {};
        if (copy.sent) {
            auto copyFields = fields;
            if (!copy.withoutLength)
                copyFields.emplace_back("Content-Length", std::to_string(body.size()));
            pendingCopy = serialise(startLine, copyFields, body);
            pendingId = attemptId;
            endsConnection = copy.withoutLength;
        }
        fields.emplace_back("Content-Length", std::to_string(body.size()));
        if (!connection.write(serialise(startLine, fields, body)))
            return;
    }
}

} // namespace review
