#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace banyancroft::home::test {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Request = http::request<http::string_body>;

/** HTTP server on an ephemeral port of 127.0.0.1 whose replies the test scripts. Runs on the test's thread.
 */
class FakeUpstream {
public:
    struct Answer {
        /** Raw bytes of the reply; empty: no reply. */
        std::string bytes;
        /** Time from the request to the reply; negative: the request is never answered. */
        std::chrono::milliseconds delay { 0 };
        /** Resets the connection, after the reply if there is one. */
        bool reset = false;
    };

    explicit FakeUpstream(asio::io_context& ioContext)
        : ioContext_(ioContext)
        , acceptor_(ioContext)
    {
        listen(0);
    }

    std::uint16_t port() const { return port_; }

    /** Simulates a process restart: resets all connections and listens on the same port with a new boot id.
     */
    void restart(std::string newBoot)
    {
        stop();
        boot = std::move(newBoot);
        listen(port_);
    }

    void stop()
    {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        for (const auto& session : sessions_)
            session->reset();
        sessions_.clear();
        running = 0;
    }

    std::string ok(const std::string& body) const
    {
        return "HTTP/1.1 200 OK\r\nX-Layout-Version: 1\r\nX-Index-Version: 7\r\nX-Boot-Id: " + boot
            + "\r\nX-Cold: " + (cold ? "1" : "0")
            + "\r\nX-Load: 1\r\nX-Served-Index: 6, 7\r\nX-Served-Layout: 1"
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    std::string status(const std::string& line, bool notRun) const
    {
        return "HTTP/1.1 " + line + "\r\nX-Boot-Id: " + boot + (notRun ? "\r\nX-Not-Run: 1" : "")
            + "\r\nContent-Length: 0\r\n\r\n";
    }

    std::string boot = "boot-1";
    bool cold = false;
    std::string healthBody;
    std::function<Answer(const Request&)> onSearch;
    std::function<Answer(const Request&)> onSubmit;
    /** Received requests by HTTP target. */
    std::map<std::string, std::vector<Request>> received;
    /** Searches and submits that are running now. */
    unsigned running = 0;
    unsigned maxRunning = 0;
    std::size_t maxConnections = 0;
    unsigned accepted = 0;

private:
    struct Session : std::enable_shared_from_this<Session> {
        Session(FakeUpstream& owner, asio::ip::tcp::socket accepted)
            : upstream(owner)
            , socket(std::move(accepted))
            , timer(owner.ioContext_)
        {
        }

        void reset()
        {
            boost::system::error_code ignored;
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
            socket.close(ignored);
            timer.cancel();
        }

        void read()
        {
            request = {};
            http::async_read(socket, buffer, request,
                [self = shared_from_this()](const boost::system::error_code& error, std::size_t /*bytes*/) {
                    if (error) {
                        self->upstream.remove(self);
                        return;
                    }
                    self->handle();
                });
        }

        void handle()
        {
            const std::string target(request.target().data(), request.target().size());
            upstream.received[target].push_back(request);
            Answer answer;
            if (target == "/health") {
                answer.bytes = upstream.healthAnswer();
            } else if (target == "/cancel") {
                answer = upstream.cancelAnswer(std::string(request["X-Request-Id"]));
            } else {
                answer = target == "/submit" ? upstream.onSubmit(request) : upstream.onSearch(request);
            }
            counted = target == "/search" || target == "/submit";
            if (counted)
                upstream.maxRunning = std::max(upstream.maxRunning, ++upstream.running);
            id = std::string(request["X-Request-Id"]);
            if (answer.delay.count() < 0)
                return;
            bytes = answer.bytes;
            closes = answer.reset;
            if (answer.delay.count() == 0)
                return finish();
            timer.expires_after(answer.delay);
            timer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
                if (!error)
                    self->finish();
            });
        }

        void finish()
        {
            if (counted && upstream.running > 0)
                --upstream.running;
            counted = false;
            if (!bytes.empty()) {
                boost::system::error_code ignored;
                asio::write(socket, asio::buffer(bytes), ignored);
            }
            if (!closes)
                return read();
            reset();
            upstream.remove(shared_from_this());
        }

        FakeUpstream& upstream;
        asio::ip::tcp::socket socket;
        asio::steady_timer timer;
        boost::beast::flat_buffer buffer;
        Request request;
        std::string id;
        std::string bytes;
        bool counted = false;
        bool closes = false;
    };

    void listen(std::uint16_t port)
    {
        const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port);
        acceptor_.open(endpoint.protocol());
        acceptor_.set_option(asio::socket_base::reuse_address(true));
        acceptor_.bind(endpoint);
        acceptor_.listen();
        port_ = acceptor_.local_endpoint().port();
        accept();
    }

    void accept()
    {
        acceptor_.async_accept([this](const boost::system::error_code& error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            ++accepted;
            sessions_.push_back(std::make_shared<Session>(*this, std::move(socket)));
            maxConnections = std::max(maxConnections, sessions_.size());
            sessions_.back()->read();
            accept();
        });
    }

    std::string healthAnswer() const
    {
        const std::string body = !healthBody.empty() ? healthBody
                                                     : R"({"state":")" + std::string(cold ? "cold" : "warm")
                + R"(","boot":")" + boot + R"(","load":0,"slots":3,"index":[6,7],"layout":[1]})";
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    /** Handles POST /cancel: ends the request with this id, which is answered with 503. */
    Answer cancelAnswer(const std::string& id)
    {
        for (const auto& session : sessions_) {
            if (session->id != id || !session->counted)
                continue;
            session->bytes = status("503 Service Unavailable", false);
            session->finish();
            return { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" };
        }
        return { "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n" };
    }

    void remove(const std::shared_ptr<Session>& session)
    {
        if (session->counted && running > 0)
            --running;
        session->counted = false;
        std::erase(sessions_, session);
    }

    asio::io_context& ioContext_;
    asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_ = 0;
    std::vector<std::shared_ptr<Session>> sessions_;
};

} // namespace banyancroft::home::test
