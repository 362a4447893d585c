#include "http_server/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <deque>
#include <optional>
#include <set>

namespace banyancroft::tools {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

std::string_view HttpRequest::header(std::string_view name) const
{
    for (const auto& [key, value] : headers) {
        if (beast::iequals(beast::string_view(key.data(), key.size()), { name.data(), name.size() }))
            return value;
    }
    return {};
}

namespace {

std::string encodeHead(const HttpReply& reply, std::string_view framing)
{
    const auto reason = http::obsolete_reason(http::int_to_status(reply.status));
    std::string head = "HTTP/1.1 " + std::to_string(reply.status) + " ";
    head.append(reason.data(), reason.size());
    head.append("\r\n").append(framing).append("\r\n");
    for (const auto& [name, value] : reply.headers)
        head.append(name).append(": ").append(value).append("\r\n");
    return head.append("\r\n");
}

std::string encodeChunk(std::string_view chunk)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string size;
    for (std::size_t rest = chunk.size(); rest > 0; rest /= 16)
        size.insert(size.begin(), digits[rest % 16]);
    return size.append("\r\n").append(chunk).append("\r\n");
}

} // namespace

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
public:
    class Session;
    class Exchange;

    Impl(asio::io_context& ioContext, Options options, Handler handler)
        : ioContext_(ioContext)
        , acceptor_(ioContext)
        , options_(std::move(options))
        , handler_(std::move(handler))
    {
    }

    void listen();
    void close();
    void accept();
    void startSession(tcp::socket socket, std::string address);
    void resetConnections(std::string_view remoteAddress);

    asio::io_context& ioContext_;
    tcp::acceptor acceptor_;
    Options options_;
    Handler handler_;
    std::set<std::shared_ptr<Session>> sessions_;
};

/** One connection; processes one exchange at a time. */
class HttpServer::Impl::Session : public std::enable_shared_from_this<Session> {
public:
    Session(std::weak_ptr<Impl> server, tcp::socket socket, std::string remoteAddress)
        : server_(std::move(server))
        , socket_(std::move(socket))
        , timer_(socket_.get_executor())
        , remoteAddress_(std::move(remoteAddress))
    {
    }

    const std::string& remoteAddress() const { return remoteAddress_; }

    void startAfter(Duration connectTime)
    {
        timer_.expires_after(connectTime);
        timer_.async_wait([self = shared_from_this()](error_code failure) {
            if (!failure)
                self->read();
        });
    }

    /** True while the exchange with this ID has not been replied to. */
    bool awaitsReply(std::uint64_t exchangeId) const
    {
        return open_ && awaitingReply_ && exchangeId == exchangeId_;
    }
    bool streams(std::uint64_t exchangeId) const { return open_ && streaming_ && exchangeId == exchangeId_; }

    void send(std::string bytes, bool keepOpen)
    {
        awaitingReply_ = false;
        closeAfterWrite_ = !keepOpen;
        write(std::move(bytes));
    }
    void startStream(std::string bytes)
    {
        awaitingReply_ = false;
        streaming_ = true;
        write(std::move(bytes));
    }
    void write(std::string bytes)
    {
        output_.push_back(std::move(bytes));
        if (output_.size() == 1)
            writeNext();
    }
    void setClosedHandler(std::function<void()> handler)
    {
        if (open_) {
            closedHandler_ = std::move(handler);
        } else {
            handler();
        }
    }

    void close(bool reset)
    {
        if (!open_)
            return;
        open_ = false;
        error_code ignored;
        if (reset)
            socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        socket_.close(ignored);
        timer_.cancel();
        if (auto server = server_.lock())
            server->sessions_.erase(shared_from_this());
        if (auto handler = std::exchange(closedHandler_, nullptr))
            handler();
    }

private:
    void read();
    void handleRequest();
    void watchForClose();
    void writeNext();

    std::weak_ptr<Impl> server_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    std::string remoteAddress_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::deque<std::string> output_;
    std::function<void()> closedHandler_;
    std::uint64_t exchangeId_ = 0;
    bool open_ = true;
    bool awaitingReply_ = false;
    bool streaming_ = false;
    bool watchingForClose_ = false;
    bool closeAfterWrite_ = false;
};

class HttpServer::Impl::Exchange : public HttpExchange {
public:
    Exchange(std::shared_ptr<Session> session, std::uint64_t exchangeId, HttpRequest request)
        : session_(std::move(session))
        , exchangeId_(exchangeId)
        , request_(std::move(request))
    {
    }

    const HttpRequest& request() const override { return request_; }
    void reply(HttpReply reply) override
    {
        if (!session_->awaitsReply(exchangeId_))
            return;
        auto bytes = encodeHead(reply, "Content-Length: " + std::to_string(reply.body.size()));
        session_->send(std::move(bytes.append(reply.body)), true);
    }
    void replyRaw(std::string bytes) override
    {
        if (session_->awaitsReply(exchangeId_))
            session_->send(std::move(bytes), false);
    }
    void startStream(HttpReply head) override
    {
        if (!session_->awaitsReply(exchangeId_))
            return;
        auto bytes = encodeHead(head, "Transfer-Encoding: chunked");
        if (!head.body.empty())
            bytes.append(encodeChunk(head.body));
        session_->startStream(std::move(bytes));
    }
    void sendChunk(std::string_view chunk) override
    {
        if (session_->streams(exchangeId_) && !chunk.empty())
            session_->write(encodeChunk(chunk));
    }
    void reset() override
    {
        if (session_->awaitsReply(exchangeId_) || session_->streams(exchangeId_))
            session_->close(true);
    }
    void onClosed(std::function<void()> handler) override
    {
        if (session_->awaitsReply(exchangeId_) || session_->streams(exchangeId_))
            session_->setClosedHandler(std::move(handler));
    }

private:
    std::shared_ptr<Session> session_;
    std::uint64_t exchangeId_;
    HttpRequest request_;
};

void HttpServer::Impl::Session::read()
{
    const auto server = server_.lock();
    if (!server || !open_)
        return;
    parser_.emplace();
    parser_->body_limit(server->options_.maxBodyBytes);
    http::async_read(
        socket_, buffer_, *parser_, [self = shared_from_this()](error_code failure, std::size_t) {
            if (failure) {
                self->close(false);
            } else {
                self->handleRequest();
            }
        });
}

void HttpServer::Impl::Session::handleRequest()
{
    const auto server = server_.lock();
    if (!server || !open_)
        return;
    auto message = parser_->release();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.remoteAddress = remoteAddress_;
    for (const auto& field : message)
        request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    request.body = std::move(message.body());
    awaitingReply_ = true;
    auto exchange = std::make_shared<Exchange>(shared_from_this(), ++exchangeId_, std::move(request));
    watchForClose();
    server->handler_(std::move(exchange));
}

void HttpServer::Impl::Session::watchForClose()
{
    if (watchingForClose_)
        return;
    watchingForClose_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code failure) {
        self->watchingForClose_ = false;
        if (failure || !self->open_ || !(self->awaitingReply_ || self->streaming_))
            return;
        char byte = 0;
        const auto count = ::recv(self->socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool noData = count < 0 && (errno == EAGAIN || errno == EINTR);
        if (noData) {
            self->watchForClose();
        } else if (count <= 0) {
            self->close(false);
        }
    });
}

void HttpServer::Impl::Session::writeNext()
{
    asio::async_write(
        socket_, asio::buffer(output_.front()), [self = shared_from_this()](error_code failure, std::size_t) {
            if (failure)
                return self->close(false);
            self->output_.pop_front();
            if (!self->output_.empty())
                return self->writeNext();
            if (self->streaming_)
                return;
            self->closedHandler_ = nullptr;
            if (self->closeAfterWrite_)
                return self->close(false);
            self->read();
        });
}

void HttpServer::Impl::listen()
{
    const tcp::endpoint endpoint(asio::ip::make_address(options_.address), options_.port);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    options_.port = acceptor_.local_endpoint().port();
    accept();
}

void HttpServer::Impl::accept()
{
    acceptor_.async_accept([self = shared_from_this()](error_code failure, tcp::socket socket) {
        if (!self->acceptor_.is_open() || failure == asio::error::operation_aborted)
            return;
        error_code ignored;
        const auto remote = failure ? tcp::endpoint() : socket.remote_endpoint(ignored);
        if (!failure && !ignored) {
            socket.set_option(tcp::no_delay(true), ignored);
            auto address = remote.address().to_string();
            // Deferred, so that connections that clients closed earlier are removed before onAccept counts
            // them.
            asio::post(
                self->ioContext_, [self, socket = std::move(socket), address = std::move(address)]() mutable {
                    self->startSession(std::move(socket), std::move(address));
                });
        }
        self->accept();
    });
}

void HttpServer::Impl::startSession(tcp::socket socket, std::string address)
{
    const bool accepted = !options_.onAccept || options_.onAccept(address);
    auto session = std::make_shared<Session>(weak_from_this(), std::move(socket), std::move(address));
    sessions_.insert(session);
    if (accepted) {
        session->startAfter(options_.connectTime);
    } else {
        session->close(true);
    }
}

void HttpServer::Impl::close()
{
    error_code ignored;
    acceptor_.close(ignored);
}

void HttpServer::Impl::resetConnections(std::string_view remoteAddress)
{
    const auto sessions = sessions_;
    for (const auto& session : sessions) {
        if (remoteAddress.empty() || session->remoteAddress() == remoteAddress)
            session->close(true);
    }
}

HttpServer::HttpServer(asio::io_context& ioContext, Options options, Handler handler)
    : impl_(std::make_shared<Impl>(ioContext, std::move(options), std::move(handler)))
{
    impl_->listen();
}

HttpServer::~HttpServer()
{
    impl_->close();
    impl_->resetConnections({});
}

std::uint16_t HttpServer::port() const { return impl_->options_.port; }
std::size_t HttpServer::connections() const { return impl_->sessions_.size(); }
void HttpServer::stopListening() { impl_->close(); }
void HttpServer::listen()
{
    if (!impl_->acceptor_.is_open())
        impl_->listen();
}
void HttpServer::resetConnections(std::string_view remoteAddress) { impl_->resetConnections(remoteAddress); }

} // namespace banyancroft::tools
