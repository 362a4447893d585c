#include "http_server.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <list>
#include <sys/socket.h>

namespace banyancroft::daemon {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = boost::asio::ip::tcp;
using ReusePort = boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

// Closes connections whose next request is not complete after this time, since they occupy one of the allowed
// connections.
constexpr std::chrono::seconds requestTimeout { 60 };
constexpr std::chrono::seconds writeTimeout { 30 };

HttpResponse errorResponse(unsigned status, std::string_view message, std::string_view remedy)
{
    std::string body = R"({"error":")";
    body.append(message).append(R"(","remedy":")").append(remedy).append("\"}\n");
    return { status, "application/json", std::move(body) };
}

} // namespace

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
public:
    class Session;

    Impl(boost::asio::io_context& io, HttpLimits httpLimits, Handler httpHandler)
        : ioContext(io)
        , limits(httpLimits)
        , handler(std::move(httpHandler))
        , acceptor(io)
    {
    }

    void accept();

    boost::asio::io_context& ioContext;
    const HttpLimits limits;
    Handler handler;
    Tcp::acceptor acceptor;
    std::size_t sessionCount = 0;
    std::size_t openRequests = 0;
    bool draining = false;
    std::list<std::weak_ptr<Session>> readingSessions;
};

class HttpServer::Impl::Session : public std::enable_shared_from_this<Session> {
public:
    Session(Tcp::socket socket, std::shared_ptr<Impl> server)
        : stream_(std::move(socket))
        , server_(std::move(server))
    {
        ++server_->sessionCount;
        beast::error_code ignored;
        stream_.socket().set_option(Tcp::no_delay(true), ignored);
    }

    ~Session()
    {
        --server_->sessionCount;
        if (hasRequest_)
            --server_->openRequests;
    }
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    void read()
    {
        if (server_->draining && buffer_.size() == 0)
            return close();
        parser_.emplace();
        parser_->header_limit(static_cast<std::uint32_t>(server_->limits.headerBytes));
        parser_->body_limit(server_->limits.bodyBytes);
        stream_.expires_after(requestTimeout);
        readingPosition_
            = server_->readingSessions.insert(server_->readingSessions.end(), this->weak_from_this());
        http::async_read(stream_, buffer_, *parser_,
            [self = this->shared_from_this()](beast::error_code code, std::size_t) { self->onRead(code); });
    }

    void refuse()
    {
        respond(
            errorResponse(503, "too many open connections", "try again later or at another daemon"), false);
    }

    /** Closes the connection unless a request has begun to arrive. */
    void closeIfIdle()
    {
        if (parser_ && !parser_->got_some())
            close();
    }

private:
    void onRead(beast::error_code code)
    {
        server_->readingSessions.erase(readingPosition_);
        if (code == http::error::end_of_stream || code == beast::error::timeout)
            return close();
        if (code)
            return onMalformed(code);
        auto message = parser_->release();
        if (message.target().size() > server_->limits.targetBytes)
            return respond(errorResponse(414, "target is too long", "send the statement as the body"), false);
        HttpRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        request.authorization = std::string(message[http::field::authorization]);
        request.traceparent = std::string(message["traceparent"]);
        request.body = std::move(message.body());
        const bool keepAlive = message.keep_alive();
        hasRequest_ = true;
        ++server_->openRequests;
        stream_.expires_never();
        server_->handler(
            std::move(request), [self = this->shared_from_this(), keepAlive](HttpResponse response) {
                self->respond(std::move(response), keepAlive);
            });
    }

    void onMalformed(beast::error_code code)
    {
        if (code.category() != http::make_error_code(http::error::bad_method).category())
            return close();
        if (code == http::error::header_limit)
            return respond(errorResponse(431, "header is too long", "send fewer or shorter headers"), false);
        if (code == http::error::body_limit)
            return respond(errorResponse(413, "body is too long", "send a shorter statement"), false);
        respond(errorResponse(400, "malformed HTTP request", "send HTTP/1.1"), false);
    }

    void respond(HttpResponse response, bool keepAlive)
    {
        auto message = std::make_shared<http::response<http::string_body>>();
        message->version(11);
        message->result(response.status);
        message->set(http::field::content_type, response.contentType);
        if (response.status == 503)
            message->set(http::field::retry_after, "1");
        message->body() = std::move(response.body);
        message->keep_alive(keepAlive && !server_->draining);
        message->prepare_payload();
        stream_.expires_after(writeTimeout);
        http::async_write(stream_, *message,
            [self = this->shared_from_this(), message](
                beast::error_code code, std::size_t) { self->onWritten(code, message->keep_alive()); });
    }

    void onWritten(beast::error_code code, bool keepAlive)
    {
        if (hasRequest_) {
            hasRequest_ = false;
            --server_->openRequests;
        }
        if (code || !keepAlive)
            return close();
        read();
    }

    void close()
    {
        beast::error_code ignored;
        stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
        stream_.close();
    }

    beast::tcp_stream stream_;
    std::shared_ptr<Impl> server_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::list<std::weak_ptr<Session>>::iterator readingPosition_;
    bool hasRequest_ = false;
};

void HttpServer::Impl::accept()
{
    acceptor.async_accept([self = shared_from_this()](beast::error_code code, Tcp::socket socket) {
        if (!self->acceptor.is_open())
            return;
        if (!code) {
            auto session = std::make_shared<Session>(std::move(socket), self);
            if (self->sessionCount > self->limits.connections)
                session->refuse();
            else
                session->read();
        }
        self->accept();
    });
}

HttpServer::HttpServer(boost::asio::io_context& ioContext, HttpLimits limits, Handler handler)
    : impl_(std::make_shared<Impl>(ioContext, limits, std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    beast::error_code ignored;
    impl_->acceptor.close(ignored);
}

std::optional<Tcp::endpoint> HttpServer::listen(const Tcp::endpoint& endpoint, Error& reason)
{
    beast::error_code code;
    auto& acceptor = impl_->acceptor;
    auto failed = [&] {
        if (!code)
            return false;
        std::ostringstream address;
        address << endpoint;
        reason = { ErrorKind::InvalidInput, "cannot listen on " + address.str() + ": " + code.message(),
            "choose an address of this VM and a free port" };
        return true;
    };
    acceptor.open(endpoint.protocol(), code);
    if (failed())
        return std::nullopt;
    acceptor.set_option(boost::asio::socket_base::reuse_address(true), code);
    acceptor.set_option(ReusePort(true), code);
    acceptor.bind(endpoint, code);
    if (failed())
        return std::nullopt;
    acceptor.listen(boost::asio::socket_base::max_listen_connections, code);
    if (failed())
        return std::nullopt;
    impl_->accept();
    return acceptor.local_endpoint();
}

void HttpServer::drain()
{
    impl_->draining = true;
    beast::error_code ignored;
    impl_->acceptor.close(ignored);
    // Closing a session cancels its read, whose completion removes it from the list; iterate over a copy.
    const auto sessions = impl_->readingSessions;
    for (const auto& weak : sessions) {
        if (auto session = weak.lock())
            session->closeIfIdle();
    }
}

std::size_t HttpServer::openRequests() const { return impl_->openRequests; }

} // namespace banyancroft::daemon
