#include "connection.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <utility>

namespace banyancroft::home {

Connection::Connection(asio::io_context& ioContext)
    : socket_(ioContext)
{
}

void Connection::connect(const asio::ip::tcp::endpoint& endpoint, Hooks hooks)
{
    hooks_ = std::move(hooks);
    socket_.async_connect(endpoint, [self = shared_from_this()](const boost::system::error_code& error) {
        if (self->closed())
            return;
        boost::system::error_code ignored;
        if (!error) {
            self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->socket_.non_blocking(true, ignored);
        }
        if (error) {
            self->fail(LossReason::ConnectFailed, error.message());
            return;
        }
        self->state_ = State::Connected;
        self->readNext();
        self->hooks_.onConnected();
    });
}

bool Connection::send(std::string bytes)
{
    busy_ = true;
    outgoing_ = std::move(bytes);
    boost::system::error_code error;
    const std::size_t sent = socket_.write_some(asio::buffer(outgoing_), error);
    if (error && error != asio::error::would_block && error != asio::error::try_again) {
        close();
        return false;
    }
    if (sent == outgoing_.size())
        return true;
    writing_ = true;
    asio::async_write(socket_, asio::buffer(outgoing_) + sent,
        [self = shared_from_this()](const boost::system::error_code& writeError, std::size_t /*bytes*/) {
            self->writing_ = false;
            if (writeError && !self->closed())
                self->fail(LossReason::ClosedByPeer, writeError.message());
        });
    return true;
}

void Connection::close()
{
    if (closed())
        return;
    state_ = State::Closed;
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void Connection::readNext()
{
    parser_.emplace();
    parser_->body_limit(maxReplyBytes);
    parser_->header_limit(maxReplyHeaderBytes);
    http::async_read(socket_, incoming_, *parser_,
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t /*bytes*/) {
            if (!self->closed())
                self->onRead(error);
        });
}

void Connection::onRead(const boost::system::error_code& error)
{
    if (error) {
        const bool byPeer = error == http::error::end_of_stream || error == http::error::partial_message
            || error.category() == boost::system::system_category()
            || error.category() == asio::error::get_misc_category();
        fail(byPeer ? LossReason::ClosedByPeer : LossReason::Malformed, error.message());
        return;
    }
    if (!busy_) {
        fail(LossReason::Malformed, "reply without a request");
        return;
    }
    const Response response = parser_->release();
    // A reply to a request that is still being written leaves the stream in an undefined state.
    const bool reusable = response.keep_alive() && !writing_;
    busy_ = false;
    if (!reusable) {
        const Hooks hooks = std::exchange(hooks_, {});
        close();
        hooks.onResponse(response);
        return;
    }
    readNext();
    hooks_.onResponse(response);
}

void Connection::fail(LossReason reason, const std::string& detail)
{
    close();
    // Releases the hooks, which may hold state of the owner and are not called again.
    const Hooks hooks = std::exchange(hooks_, {});
    if (hooks.onLost)
        hooks.onLost(reason, detail);
}

} // namespace banyancroft::home
