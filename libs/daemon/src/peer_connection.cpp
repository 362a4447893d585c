#include "peer_connection.h"

#include <boost/asio/write.hpp>

namespace banyancroft::daemon {

namespace {

// Bounds the memory for a peer that hangs or is cut off from the network.
constexpr std::size_t maxQueuedBytes = 64 * 1024 * 1024;

Error connectionError(const boost::system::error_code& code)
{
    return { ErrorKind::Unavailable, "peer connection lost: " + code.message(),
        "check that the peer daemon runs and can be reached" };
}

} // namespace

PeerConnection::PeerConnection(Socket socket, std::uint64_t id, Hooks hooks, wire::FrameReader frames)
    : socket_(std::move(socket))
    , id_(id)
    , hooks_(std::move(hooks))
    , frames_(std::move(frames))
{
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

void PeerConnection::start()
{
    // Bytes taken over from another thread may already contain complete messages.
    if (handleFrames())
        read();
}

void PeerConnection::read()
{
    socket_.async_read_some(boost::asio::buffer(readBuffer_),
        [self = shared_from_this()](const boost::system::error_code& code, std::size_t size) {
            if (self->closed_)
                return;
            if (code)
                return self->fail(connectionError(code));
            if (self->received_)
                self->received_->add(size);
            self->frames_.append(std::string_view(self->readBuffer_.data(), size));
            if (self->handleFrames())
                self->read();
        });
}

bool PeerConnection::handleFrames()
{
    Error reason;
    while (!closed_) {
        auto message = frames_.next(reason);
        if (reason) {
            fail(reason);
            return false;
        }
        if (!message)
            return true;
        hooks_.onMessage(shared_from_this(), std::move(*message));
    }
    return false;
}

void PeerConnection::send(const wire::Message& message)
{
    if (closed_)
        return;
    wire::appendFrame(message, queued_);
    if (queued_.size() > maxQueuedBytes)
        return fail(
            { ErrorKind::Overloaded, "send queue of the peer exceeds 64 MiB; the peer reads too slowly",
                "check the load of the peer daemon" });
    if (writing_.empty())
        write();
}

void PeerConnection::write()
{
    std::swap(writing_, queued_);
    if (sent_)
        sent_->add(writing_.size());
    boost::asio::async_write(socket_, boost::asio::buffer(writing_),
        [self = shared_from_this()](const boost::system::error_code& code, std::size_t) {
            if (self->closed_)
                return;
            if (code)
                return self->fail(connectionError(code));
            self->writing_.clear();
            if (!self->queued_.empty())
                self->write();
        });
}

void PeerConnection::fail(const Error& reason)
{
    if (closed_)
        return;
    close();
    if (hooks_.onClosed)
        hooks_.onClosed(shared_from_this(), reason);
}

void PeerConnection::close()
{
    closed_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
}

std::pair<int, wire::FrameReader> PeerConnection::release()
{
    closed_ = true;
    boost::system::error_code ignored;
    const int descriptor = socket_.release(ignored);
    return { ignored ? -1 : descriptor, std::move(frames_) };
}

} // namespace banyancroft::daemon
