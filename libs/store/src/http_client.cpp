#include "store/http_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <functional>
#include <set>

namespace banyancroft::store {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/**
 * Received bytes that are kept until they are parsed. The parser limits header and body itself, but waits for
 * the end of a chunk size, chunk extension or trailer however long that is.
 */
constexpr std::size_t maxBufferBytes = 64 * 1024;
/** Limit on the chunk extensions of a response, which no service here uses. */
constexpr std::size_t maxExtensionBytes = 16 * 1024;

/** True for parser errors, which have a category of their own; all others are connection failures. */
bool isMalformed(const error_code& failure)
{
    static const auto& category = make_error_code(http::error::bad_version).category();
    return failure.category() == category && failure != http::error::end_of_stream
        && failure != http::error::partial_message;
}

/** False when the server has closed the connection or sent bytes without a request. */
bool isReusable(tcp::socket& socket)
{
    char byte = 0;
    return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

} // namespace

std::optional<std::string_view> HttpResponse::header(std::string_view name) const
{
    for (const auto& [known, value] : headers) {
        if (beast::iequals({ known.data(), known.size() }, { name.data(), name.size() }))
            return value;
    }
    return std::nullopt;
}

class HttpClient::Impl {
public:
    class Call;

    Impl(asio::io_context& ioContext, Options options)
        : ioContext_(ioContext)
        , options_(std::move(options))
    {
    }

    http::request<http::string_body> makeRequest(
        std::string_view method, std::string_view target, std::string body, const Headers& headers) const
    {
        http::request<http::string_body> request(
            http::string_to_verb({ method.data(), method.size() }), { target.data(), target.size() }, 11);
        request.set(http::field::host, options_.address + ":" + std::to_string(options_.port));
        request.set(http::field::content_type, "application/json");
        for (const auto& [name, value] : options_.headers)
            request.set(name, value);
        for (const auto& [name, value] : headers)
            request.set(name, value);
        request.body() = std::move(body);
        request.prepare_payload();
        return request;
    }

    std::optional<tcp::socket> takeIdle()
    {
        while (!idle_.empty()) {
            auto socket = std::move(idle_.back());
            idle_.pop_back();
            if (isReusable(socket))
                return socket;
        }
        return std::nullopt;
    }

    void returnToPool(tcp::socket socket)
    {
        if (!closed_ && idle_.size() < options_.maxIdle)
            idle_.push_back(std::move(socket));
    }

    void close();

    asio::io_context& ioContext_;
    Options options_;
    std::vector<tcp::socket> idle_;
    std::set<std::shared_ptr<Call>> calls_;
    bool closed_ = false;
};

/** One call or stream on its connection; removed from the client when it ends. */
class HttpClient::Impl::Call : public std::enable_shared_from_this<Call> {
public:
    Call(std::shared_ptr<Impl> client, http::request<http::string_body> request)
        : client_(std::move(client))
        , socket_(client_->ioContext_)
        , timer_(client_->ioContext_)
        , request_(std::move(request))
    {
    }

    void start(Duration timeout, HttpClient::Handler handler)
    {
        handler_ = std::move(handler);
        begin(timeout);
    }

    void startStream(
        Duration timeout, HttpClient::ChunkHandler onChunk, std::function<void(const Error&)> onEnd)
    {
        onChunk_ = std::move(onChunk);
        handler_ = [onEnd = std::move(onEnd)](auto, const HttpError& reason) { onEnd(reason); };
        begin(timeout);
    }

    /** Ends the call and runs its handler, if any, with the reason. */
    void fail(ErrorKind kind, const std::string& message)
    {
        Error error { kind,
            client_->options_.address + ":" + std::to_string(client_->options_.port) + ": " + message,
            kind == ErrorKind::MalformedMessage ? "check that the address is that of the service"
                                                : "check that the service is running and reachable" };
        finish(std::nullopt, { std::move(error), sent_ });
    }

    void cancel()
    {
        handler_ = nullptr;
        finish(std::nullopt, {});
    }

private:
    void begin(Duration timeout)
    {
        client_->calls_.insert(shared_from_this());
        timer_.expires_after(timeout);
        timer_.async_wait([self = shared_from_this()](error_code failure) {
            if (!failure)
                self->fail(ErrorKind::TimedOut, "no response within the deadline");
        });
        // Posted, so that no handler runs before call() or stream() has returned.
        asio::post(client_->ioContext_, [self = shared_from_this()] {
            if (self->done_)
                return;
            if (!self->onChunk_) {
                if (auto idle = self->client_->takeIdle()) {
                    self->socket_ = std::move(*idle);
                    return self->write();
                }
            }
            self->connect();
        });
    }

    void connect()
    {
        const auto& options = client_->options_;
        error_code failure;
        const tcp::endpoint server(asio::ip::make_address(options.address, failure), options.port);
        if (!failure)
            socket_.open(server.protocol(), failure);
        if (!failure && !options.localAddress.empty()) {
            const auto local = asio::ip::make_address(options.localAddress, failure);
            if (!failure)
                socket_.bind({ local, 0 }, failure);
        }
        if (failure)
            return fail(ErrorKind::Unavailable, failure.message());
        socket_.async_connect(server, [self = shared_from_this()](error_code connectFailure) {
            if (self->done_)
                return;
            if (connectFailure)
                return self->fail(ErrorKind::Unavailable, connectFailure.message());
            error_code ignored;
            self->socket_.set_option(tcp::no_delay(true), ignored);
            self->write();
        });
    }

    void write()
    {
        sent_ = true;
        http::async_write(socket_, request_, [self = shared_from_this()](error_code failure, std::size_t) {
            if (self->done_)
                return;
            if (failure)
                return self->fail(ErrorKind::Unavailable, failure.message());
            if (self->onChunk_) {
                self->readStreamHeader();
            } else {
                self->read();
            }
        });
    }

    void read()
    {
        parser_.emplace();
        parser_->body_limit(client_->options_.maxBodyBytes);
        parser_->on_chunk_header(limitExtensions_);
        http::async_read(
            socket_, buffer_, *parser_, [self = shared_from_this()](error_code failure, std::size_t) {
                if (self->done_)
                    return;
                if (failure)
                    return self->failRead(failure);
                const bool reusable = self->parser_->get().keep_alive() && self->buffer_.size() == 0;
                auto message = self->parser_->release();
                if (reusable)
                    self->client_->returnToPool(std::move(self->socket_));
                HttpResponse response { message.result_int(), std::move(message.body()) };
                for (const auto& field : message.base())
                    response.headers.emplace_back(field.name_string(), field.value());
                self->finish(std::move(response), {});
            });
    }

    void readStreamHeader()
    {
        enableKeepAlive();
        streamParser_.emplace();
        streamParser_->body_limit(boost::none);
        http::async_read_header(
            socket_, buffer_, *streamParser_, [self = shared_from_this()](error_code failure, std::size_t) {
                if (self->done_)
                    return;
                if (failure)
                    return self->failRead(failure);
                const auto status = self->streamParser_->get().result_int();
                if (status != 200) {
                    return self->fail(status >= 500 ? ErrorKind::Unavailable : ErrorKind::MalformedMessage,
                        "stream rejected with status " + std::to_string(status));
                }
                self->timer_.cancel();
                self->readChunk();
            });
    }

    void readChunk()
    {
        auto& body = streamParser_->get().body();
        body.data = chunk_.data();
        body.size = chunk_.size();
        http::async_read_some(
            socket_, buffer_, *streamParser_, [self = shared_from_this()](error_code failure, std::size_t) {
                if (self->done_)
                    return;
                const auto count = self->chunk_.size() - self->streamParser_->get().body().size;
                if (count > 0)
                    self->onChunk_({ self->chunk_.data(), count });
                if (self->done_)
                    return;
                if (failure && failure != http::error::need_buffer)
                    return self->failRead(failure);
                if (self->streamParser_->is_done())
                    return self->fail(ErrorKind::Unavailable, "the server ended the stream");
                self->readChunk();
            });
    }

    /** A stream has no deadline, so TCP keep-alive has to detect a peer that vanished without closing. */
    void enableKeepAlive()
    {
        constexpr int idleSeconds = 5;
        constexpr int intervalSeconds = 2;
        constexpr int probes = 3;
        error_code ignored;
        socket_.set_option(asio::socket_base::keep_alive(true), ignored);
        const int handle = socket_.native_handle();
        ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &idleSeconds, sizeof idleSeconds);
        ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &intervalSeconds, sizeof intervalSeconds);
        ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
    }

    void failRead(const error_code& failure)
    {
        fail(isMalformed(failure) ? ErrorKind::MalformedMessage : ErrorKind::Unavailable, failure.message());
    }

    void finish(std::optional<HttpResponse> response, const HttpError& reason)
    {
        if (done_)
            return;
        done_ = true;
        const auto self = shared_from_this();
        timer_.cancel();
        error_code ignored;
        socket_.close(ignored);
        client_->calls_.erase(self);
        if (auto handler = std::exchange(handler_, nullptr))
            handler(std::move(response), reason);
    }

    std::shared_ptr<Impl> client_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    http::request<http::string_body> request_;
    beast::flat_buffer buffer_ { maxBufferBytes };
    std::size_t extensionBytes_ = 0;
    /** Adds up the chunk extensions; the parser keeps a reference to it. */
    std::function<void(std::uint64_t, beast::string_view, error_code&)> limitExtensions_
        = [this](std::uint64_t, beast::string_view extensions, error_code& failure) {
              extensionBytes_ += extensions.size();
              if (extensionBytes_ > maxExtensionBytes)
                  failure = http::error::header_limit;
          };
    std::optional<http::response_parser<http::string_body>> parser_;
    std::optional<http::response_parser<http::buffer_body>> streamParser_;
    std::array<char, 16 * 1024> chunk_ {};
    HttpClient::Handler handler_;
    HttpClient::ChunkHandler onChunk_;
    bool sent_ = false;
    bool done_ = false;
};

void HttpClient::Impl::close()
{
    closed_ = true;
    idle_.clear();
    const auto calls = calls_;
    for (const auto& call : calls)
        call->fail(ErrorKind::Unavailable, "the HTTP client was closed");
}

HttpClient::HttpClient(asio::io_context& ioContext, Options options)
    : impl_(std::make_shared<Impl>(ioContext, std::move(options)))
{
}

HttpClient::~HttpClient() { impl_->close(); }

void HttpClient::call(std::string_view method, std::string_view target, std::string body, Duration timeout,
    Handler handler, const Headers& headers)
{
    std::make_shared<Impl::Call>(impl_, impl_->makeRequest(method, target, std::move(body), headers))
        ->start(timeout, std::move(handler));
}

std::function<void()> HttpClient::stream(std::string_view target, std::string body, Duration timeout,
    ChunkHandler onChunk, std::function<void(const Error&)> onEnd)
{
    auto call = std::make_shared<Impl::Call>(impl_, impl_->makeRequest("POST", target, std::move(body), {}));
    call->startStream(timeout, std::move(onChunk), std::move(onEnd));
    return [weak = std::weak_ptr<Impl::Call>(call)] {
        if (auto open = weak.lock())
            open->cancel();
    };
}

} // namespace banyancroft::store
