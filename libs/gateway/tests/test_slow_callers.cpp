#include "gateway_fixture.h"
#include "http_listener.h"

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::gateway;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t responseBytes = std::size_t { 8 } * 1024 * 1024;
constexpr std::size_t bodyBytes = 256 * 1024;

/** A listener that answers each request with a long response, and one caller. */
struct SlowExchange {
    explicit SlowExchange(MemoryAccount::Limits limits)
        : memory(limits)
        , listener(ioContext, 10, memory,
              [](const CallerRequest& request) {
                  http::Response response;
                  response.body.assign(request.head.method == "GET" ? responseBytes : 4, 'x');
                  request.connection->respond(response, false);
              })
        , caller(ioContext)
    {
        GatewayFixture fixture;
        const auto port = fixture.freePort();
        Error reason;
        BOOST_REQUIRE(listener.listen({ "127.0.0.1", port }, reason));
        CallerTimeouts timeouts;
        timeouts.responseProgress = 300ms;
        listener.setLimits({ 16 * 1024, bodyBytes }, timeouts);
        listener.startAccepting();
        caller.open(tcp::v4());
        caller.set_option(boost::asio::socket_base::receive_buffer_size(4096));
        caller.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
        caller.non_blocking(true);
    }

    void send(const std::string& bytes) { boost::asio::write(caller, boost::asio::buffer(bytes)); }
    /** Serves for 20 ms and lets the caller read up to `readBytes`. @return bytes read */
    std::size_t step(std::size_t readBytes)
    {
        ioContext.restart();
        ioContext.run_for(20ms);
        listener.expire(BootClock::now());
        std::string bytes(readBytes, '\0');
        std::size_t count = 0;
        boost::system::error_code failure;
        while (count < readBytes && !failure) {
            count += caller.read_some(boost::asio::buffer(bytes.data() + count, readBytes - count), failure);
            ioContext.restart();
            ioContext.poll();
        }
        return count;
    }

    boost::asio::io_context ioContext;
    MemoryAccount memory;
    HttpListener listener;
    tcp::socket caller;
};

} // namespace

// Guards against a response that is kept for good because its caller does not take it.
BOOST_AUTO_TEST_CASE(callerThatDoesNotTakeItsResponseIsClosed)
{
    SlowExchange exchange({ 64 * 1024 * 1024, 0 });
    int slowCallers = 0;
    exchange.listener.onSlowCaller([&] { ++slowCallers; });
    exchange.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    for (int i = 0; i < 500 && slowCallers == 0; ++i)
        exchange.step(0);
    BOOST_TEST(slowCallers == 1);
    BOOST_TEST(exchange.listener.connectionCount() == 0U);
    BOOST_TEST(exchange.memory.total() == 0U);
}

// Guards against the loss of a response whose caller reads steadily for longer than the period of progress.
BOOST_AUTO_TEST_CASE(callerThatTakesItsResponseSteadilyGetsAllOfIt)
{
    SlowExchange exchange({ 64 * 1024 * 1024, 0 });
    exchange.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    std::size_t received = 0;
    for (int i = 0; i < 1000 && received < responseBytes; ++i)
        received += exchange.step(128 * 1024);
    BOOST_TEST(received >= responseBytes);
    BOOST_TEST(exchange.listener.connectionCount() == 1U);
}

// Guards against a body that is read although there is no memory for it, and against one that is never read
// again.
BOOST_AUTO_TEST_CASE(bodyWaitsForMemoryAndIsReadOnceThereIsRoom)
{
    SlowExchange exchange({ 1024 * 1024, 0 });
    MemoryHolder other(&exchange.memory, MemoryUse::Parts, [] {});
    other.hold(1024 * 1024);
    exchange.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n");
    const std::string body(bodyBytes, 'b');
    boost::system::error_code failure;
    std::size_t sent = 0;
    std::size_t received = 0;
    for (int i = 0; i < 20; ++i) {
        sent += exchange.caller.write_some(
            boost::asio::buffer(body.data() + sent, body.size() - sent), failure);
        received += exchange.step(100);
    }
    BOOST_TEST(received == 0U);
    BOOST_TEST(exchange.memory.total() <= 1024U * 1024 + 8192);
    other.hold(0);
    for (int i = 0; i < 200 && received == 0; ++i) {
        sent += exchange.caller.write_some(
            boost::asio::buffer(body.data() + sent, body.size() - sent), failure);
        received += exchange.step(100);
    }
    BOOST_TEST(received > 0U);
}
