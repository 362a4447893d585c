#include "home/home.h"

#include <benchmark/benchmark.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <thread>

using namespace banyancroft;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/** Sends the same reply to each request. Runs on its own threads, so that its processor time is not measured.
 */
class ConstantUpstream {
public:
    ConstantUpstream()
        : acceptor_(ioContext_, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , thread_([this] { acceptAll(); })
    {
    }
    ~ConstantUpstream()
    {
        stopping_ = true;
        tcp::socket(ioContext_).connect(acceptor_.local_endpoint());
        thread_.join();
        for (std::thread& session : sessions_)
            session.join();
    }
    ConstantUpstream(const ConstantUpstream&) = delete;
    ConstantUpstream& operator=(const ConstantUpstream&) = delete;

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

private:
    void acceptAll()
    {
        while (!stopping_) {
            tcp::socket socket = acceptor_.accept();
            socket.set_option(tcp::no_delay(true));
            sessions_.emplace_back([accepted = std::move(socket)]() mutable { serve(accepted); });
        }
    }

    static void serve(tcp::socket& socket)
    {
        const std::string health = R"({"state":"warm","boot":"b","load":0,"slots":3})";
        const std::string rows = R"({"island":"Cebu","manifest":"m-1001","weight":12})"
                                 "\n"
                                 R"({"island":"Cebu","manifest":"m-1002","weight":31})"
                                 "\n";
        const auto reply = [](const std::string& body) {
            return "HTTP/1.1 200 OK\r\nX-Layout-Version: 1\r\nX-Index-Version: 7\r\nX-Boot-Id: b\r\nX-Cold: "
                   "0\r\n"
                   "X-Load: 1\r\nX-Served-Index: 7\r\nX-Served-Layout: 1\r\nContent-Length: "
                + std::to_string(body.size()) + "\r\n\r\n" + body;
        };
        boost::system::error_code error;
        std::string buffer;
        while (!error) {
            const std::size_t header
                = asio::read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n", error);
            if (error)
                return;
            const std::size_t field = buffer.find("Content-Length: ");
            const std::size_t body = field < header ? std::stoul(buffer.substr(field + 16)) : 0;
            const std::size_t size = header + body;
            if (buffer.size() < size)
                asio::read(socket, asio::dynamic_buffer(buffer), asio::transfer_exactly(size - buffer.size()),
                    error);
            const bool isHealthPoll = buffer.starts_with("GET");
            buffer.erase(0, size);
            asio::write(socket, asio::buffer(reply(isHealthPoll ? health : rows)), error);
        }
    }

    asio::io_context ioContext_;
    tcp::acceptor acceptor_;
    std::atomic<bool> stopping_ = false;
    std::vector<std::thread> sessions_;
    std::thread thread_;
};

/** Measures the processor time of the home's thread per sub-request; a batch has one item per upstream. */
void searchBatch(benchmark::State& state)
{
    constexpr unsigned upstreams = 7;
    ConstantUpstream server;
    asio::io_context ioContext(1);
    home::Home home(ioContext);
    std::vector<home::Target> targets(upstreams);
    wire::SubrequestBatch batch;
    batch.collection = "manifests";
    batch.where = "island = \"Cebu\"";
    batch.layout = { 1 };
    batch.index = { 7 };
    batch.remainingMicros = 1'000'000;
    for (unsigned index = 0; index < upstreams; ++index) {
        home::Target& target = targets[index];
        target.upstream.id = UpstreamId("dispatch-desk-0" + std::to_string(index));
        target.upstream.address = "127.0.0.1";
        target.upstream.port = server.port();
        target.slots = 3;
        target.connections = 8;
        target.authority = { Share::Full, BootClock::now() + 1h };
        batch.items.push_back({ {}, target.upstream.id, { ShardId("dispatch-desk-01") }, false });
    }
    home.apply(config::Policy {}, targets);
    std::uint64_t sequence = 0;
    std::uint64_t failed = 0;
    for (auto _ : state) {
        std::size_t unanswered = upstreams;
        for (auto& item : batch.items)
            item.sequence = { ++sequence };
        home.search(batch, 1, BootClock::now(), [&](const wire::SubreplyBatch& reply) {
            unanswered -= reply.items.size();
            for (const auto& item : reply.items)
                failed += item.outcome == Outcome::Done ? 0 : 1;
        });
        while (unanswered > 0)
            ioContext.run_one();
    }
    if (failed > 0)
        state.SkipWithError("at least one sub-request did not end with Outcome::Done");
    state.counters["per_subrequest"] = benchmark::Counter(static_cast<double>(state.iterations() * upstreams),
        benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK(searchBatch)->Unit(benchmark::kMicrosecond);

} // namespace
