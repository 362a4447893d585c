#include "load_generator.h"

#include "store/http_client.h"

#include <boost/asio/steady_timer.hpp>

#include <array>
#include <memory>

namespace banyancroft::tools {

namespace asio = boost::asio;
using boost::system::error_code;
using store::HttpClient;

namespace {

/** Longer than any deadline of the requests, so that only lost answers time out. */
constexpr auto responseTimeout = std::chrono::seconds(4);
constexpr auto readyPollPeriod = std::chrono::milliseconds(100);
constexpr auto readyTimeout = std::chrono::milliseconds(500);
constexpr std::size_t idleConnections = 64;
constexpr std::size_t maxReportedFaults = 10;
constexpr std::size_t maxReportedCharacters = 400;

/** State of one daemon in the load balancer. */
struct Backend {
    std::uint16_t port = 0;
    bool ready = false;
    std::unique_ptr<HttpClient> client;
};

class LoadGenerator {
public:
    LoadGenerator(const std::vector<PlannedRequest>& schedule, const AnswerChecker& checker,
        const Endpoints& endpoints, TimePoint start)
        : schedule_(schedule)
        , checker_(checker)
        , endpoints_(endpoints)
        , start_(start)
        , sendTimer_(ioContext_)
        , pollTimer_(ioContext_)
    {
    }

    LoadResult run()
    {
        pollReadiness();
        sendDue();
        ioContext_.run();
        return std::move(result_);
    }

private:
    bool finished() const { return nextRequest_ == schedule_.size() && openRequests_ == 0; }

    void sendDue()
    {
        const auto now = BootClock::now();
        while (nextRequest_ < schedule_.size() && start_ + schedule_[nextRequest_].at <= now) {
            ++openRequests_;
            send(schedule_[nextRequest_], schedule_[nextRequest_].daemonSelector, 0);
            ++nextRequest_;
        }
        if (nextRequest_ == schedule_.size())
            return;
        sendTimer_.expires_after(start_ + schedule_[nextRequest_].at - BootClock::now());
        sendTimer_.async_wait([this](error_code failure) {
            if (!failure)
                sendDue();
        });
    }

    void pollReadiness()
    {
        if (finished())
            return;
        for (std::size_t daemon = 0; daemon < Endpoints::daemonCount; ++daemon)
            pollDaemon(daemon);
        pollTimer_.expires_after(readyPollPeriod);
        pollTimer_.async_wait([this](error_code failure) {
            if (!failure)
                pollReadiness();
        });
    }

    void pollDaemon(std::size_t daemon)
    {
        auto& backend = backends_[daemon];
        const auto port = endpoints_.port(daemon);
        if (port != backend.port) {
            backend.port = port;
            backend.ready = port != 0;
            // Keeps the old client until the end of the run, since its open requests may still be answered.
            if (backend.client)
                retiredClients_.push_back(std::move(backend.client));
            if (port != 0) {
                backend.client = std::make_unique<HttpClient>(ioContext_,
                    HttpClient::Options { .address = "127.0.0.1", .port = port, .maxIdle = idleConnections });
            }
        }
        if (!backend.client)
            return;
        backend.client->call(
            "GET", "/readyz", {}, readyTimeout, [this, daemon, port](auto answer, const auto&) {
                if (backends_[daemon].port == port)
                    backends_[daemon].ready = answer && answer->status == 200;
            });
    }

    /** Returns the first ready daemon from an index on; the first running one if none is ready. */
    Backend* pickBackend(std::uint64_t startIndex)
    {
        for (const bool readyOnly : { true, false }) {
            for (std::size_t step = 0; step < backends_.size(); ++step) {
                auto& backend = backends_[(startIndex + step) % backends_.size()];
                if (backend.client && (backend.ready || !readyOnly))
                    return &backend;
            }
        }
        return nullptr;
    }

    void send(const PlannedRequest& request, std::uint64_t startIndex, unsigned attempts)
    {
        auto* backend = pickBackend(startIndex);
        if (!backend || attempts == backends_.size()) {
            ++result_.unserved;
            return finishRequest();
        }
        backend->client->call("POST", "/v1/query", request.statement, responseTimeout,
            [this, &request, startIndex, attempts](auto answer, const store::HttpError& failure) {
                if (answer)
                    return handleResponse(request, *answer);
                if (!failure.sent)
                    return send(request, startIndex + 1, attempts + 1);
                recordUnanswered(request, failure);
            },
            { { "Content-Type", "text/plain" } });
    }

    void handleResponse(const PlannedRequest& request, const store::HttpResponse& answer)
    {
        const bool search = request.kind == PlannedRequest::Kind::Search;
        const auto checked = search ? checker_.checkSearch(request.collection, answer.status, answer.body)
                                    : AnswerChecker::checkSubmit(answer.status, answer.body);
        const bool done = checked.outcome == CheckedAnswer::Outcome::Done;
        if (!search) {
            auto& key = result_.keys[request.key];
            ++key.sent;
            key.done += done ? 1 : 0;
            key.notRun += checked.outcome == CheckedAnswer::Outcome::NotRun ? 1 : 0;
        }
        for (const auto& [reason, count] : checked.missing)
            result_.missingShards[reason] += count;
        if (!done)
            ++result_.reasons[(search ? "search " : "submit ")
                + checked.reason.substr(0, maxReportedCharacters)];
        if (checked.outcome == CheckedAnswer::Outcome::Malformed) {
            ++result_.malformed;
            recordFault(request, checked.reason);
        }
        if (!checked.coverageError.empty()) {
            ++result_.coverageErrors;
            recordFault(request, checked.coverageError + " in " + answer.body);
        }
        recordSample(request, done, checked.complete);
        finishRequest();
    }

    void recordUnanswered(const PlannedRequest& request, const Error& failure)
    {
        ++result_.unanswered;
        if (request.kind == PlannedRequest::Kind::Submit)
            ++result_.keys[request.key].sent;
        recordFault(request, toString(failure));
        recordSample(request, false, false);
        finishRequest();
    }

    void recordSample(const PlannedRequest& request, bool done, bool complete)
    {
        const bool search = request.kind == PlannedRequest::Kind::Search;
        result_.samples.push_back({ request.at, BootClock::now() - start_ - request.at, search, done,
            complete, search ? checker_.groups(request.collection) : 0 });
    }

    void recordFault(const PlannedRequest& request, const std::string& text)
    {
        if (result_.faults.size() < maxReportedFaults)
            result_.faults.push_back(request.statement + ": " + text.substr(0, maxReportedCharacters));
    }

    void finishRequest()
    {
        --openRequests_;
        if (finished())
            pollTimer_.cancel();
    }

    const std::vector<PlannedRequest>& schedule_;
    const AnswerChecker& checker_;
    const Endpoints& endpoints_;
    TimePoint start_;
    asio::io_context ioContext_ { 1 };
    asio::steady_timer sendTimer_;
    asio::steady_timer pollTimer_;
    std::array<Backend, Endpoints::daemonCount> backends_;
    std::vector<std::unique_ptr<HttpClient>> retiredClients_;
    std::size_t nextRequest_ = 0;
    std::size_t openRequests_ = 0;
    LoadResult result_;
};

} // namespace

LoadResult runLoad(const std::vector<PlannedRequest>& schedule, const AnswerChecker& checker,
    const Endpoints& endpoints, TimePoint start)
{
    return LoadGenerator(schedule, checker, endpoints, start).run();
}

} // namespace banyancroft::tools
