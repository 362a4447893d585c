#include "http/message_reader.h"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <optional>

namespace banyancroft::http {

namespace {

namespace beast = boost::beast;
using boost::system::error_code;

/** A body buffer of at most this size is kept for the next message. */
constexpr std::size_t maxKeptCapacity = 16 * 1024;

/** Elements of one message, filled in by the parser. */
struct Message {
    RequestHead request;
    ResponseHead response;
    std::string body;

    void clear()
    {
        request.method.clear();
        request.target.clear();
        request.fields.clear();
        response.status = 0;
        response.fields.clear();
        response.hasFraming = true;
        body.clear();
        // Otherwise each idle connection would keep the memory of its largest body.
        if (body.capacity() > maxKeptCapacity)
            body = std::string();
    }
};

/** Stores the elements that Beast parses in a Message. */
template <bool isRequest> class Parser final : public beast::http::basic_parser<isRequest> {
public:
    Parser(Message& message, const ReadLimits& limits)
        : message_(message)
        , maxExtensionBytes_(limits.headerBytes)
    {
        this->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
        this->body_limit(limits.bodyBytes);
        this->eager(true);
    }

private:
    using Text = beast::string_view;

    static std::string_view view(Text text) { return { text.data(), text.size() }; }

    void on_request_impl(beast::http::verb, Text method, Text target, int, error_code&) override
    {
        message_.request.method = view(method);
        message_.request.target = view(target);
    }

    void on_response_impl(int status, Text, int, error_code& failure) override
    {
        message_.response.status = static_cast<unsigned>(status);
        // Without an Upgrade field in the request, 101 is as invalid as a status outside of the five classes.
        if (!isInterimStatus(message_.response.status) && !isFinalStatus(message_.response.status))
            failure = beast::http::error::bad_status;
    }

    void on_field_impl(beast::http::field, Text name, Text value, error_code&) override
    {
        auto& fields = isRequest ? message_.request.fields : message_.response.fields;
        fields.add(view(name), view(value));
    }

    void on_header_impl(error_code&) override { message_.response.hasFraming = !this->need_eof(); }
    void on_body_init_impl(const boost::optional<std::uint64_t>&, error_code&) override { }

    std::size_t on_body_impl(Text body, error_code&) override
    {
        message_.body.append(body.data(), body.size());
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t, Text extensions, error_code& failure) override
    {
        extensionBytes_ += extensions.size();
        if (extensionBytes_ > maxExtensionBytes_)
            failure = beast::http::error::header_limit;
    }

    std::size_t on_chunk_body_impl(std::uint64_t, Text body, error_code&) override
    {
        message_.body.append(body.data(), body.size());
        return body.size();
    }

    void on_finish_impl(error_code&) override { }

    Message& message_;
    const std::size_t maxExtensionBytes_;
    std::size_t extensionBytes_ = 0;
};

ReadState stateOf(const error_code& failure)
{
    if (failure == beast::http::error::header_limit)
        return ReadState::HeaderTooLong;
    if (failure == beast::http::error::body_limit)
        return ReadState::BodyTooLong;
    return ReadState::Malformed;
}

} // namespace

class MessageReader::Impl {
public:
    Impl(Kind kind, ReadLimits limits)
        : kind_(kind)
        , limits_(limits)
    {
    }

    template <typename Use> auto withParser(Use use)
    {
        return kind_ == Kind::Request ? use(*requestParser_) : use(*responseParser_);
    }

    const Kind kind_;
    const ReadLimits limits_;
    Message message_;
    bool started_ = false;
    std::optional<Parser<true>> requestParser_;
    std::optional<Parser<false>> responseParser_;
};

MessageReader::MessageReader(Kind kind, ReadLimits limits)
    : impl_(std::make_unique<Impl>(kind, limits))
{
    begin();
}

MessageReader::~MessageReader() = default;

void MessageReader::begin(bool withoutBody)
{
    impl_->message_.clear();
    impl_->started_ = false;
    if (impl_->kind_ == Kind::Request) {
        impl_->requestParser_.emplace(impl_->message_, impl_->limits_);
        return;
    }
    impl_->responseParser_.emplace(impl_->message_, impl_->limits_);
    impl_->responseParser_->skip(withoutBody);
}

ReadState MessageReader::read(std::string_view bytes, std::size_t& consumed)
{
    consumed = 0;
    const auto state = parse(bytes, consumed);
    // The parser limits header and body, but not what it waits for otherwise, such as the end of a chunk
    // extension.
    const bool tooLong
        = state == ReadState::Incomplete && bytes.size() - consumed > impl_->limits_.headerBytes;
    return tooLong ? ReadState::HeaderTooLong : state;
}

ReadState MessageReader::parse(std::string_view bytes, std::size_t& consumed)
{
    impl_->started_ |= !bytes.empty();
    return impl_->withParser([&](auto& parser) {
        // put() returns between header and body and between chunks, so it is called while it makes progress.
        while (!parser.is_done()) {
            error_code failure;
            const auto left = bytes.substr(consumed);
            const auto count = parser.put(boost::asio::buffer(left.data(), left.size()), failure);
            consumed += count;
            if (failure == beast::http::error::need_more)
                return ReadState::Incomplete;
            if (failure)
                return stateOf(failure);
            if (count == 0 || (consumed == bytes.size() && !parser.is_done()))
                return ReadState::Incomplete;
        }
        return ReadState::Complete;
    });
}

ReadState MessageReader::end()
{
    return impl_->withParser([](auto& parser) {
        error_code failure;
        if (!parser.got_some())
            return ReadState::Incomplete;
        parser.put_eof(failure);
        return failure ? ReadState::Malformed : ReadState::Complete;
    });
}

bool MessageReader::hasStarted() const { return impl_->started_; }

bool MessageReader::isHeaderDone() const
{
    return impl_->withParser([](auto& parser) { return parser.is_header_done(); });
}

bool MessageReader::keepsAlive() const
{
    return impl_->withParser([](auto& parser) { return parser.keep_alive(); });
}

const RequestHead& MessageReader::request() const { return impl_->message_.request; }

const ResponseHead& MessageReader::response() const { return impl_->message_.response; }

std::string& MessageReader::body() { return impl_->message_.body; }

} // namespace banyancroft::http
