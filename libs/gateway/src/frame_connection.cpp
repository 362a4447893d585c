#include "frame_connection.h"

#include "close_on_exception.h"
#include "telemetry/log.h"

#include <algorithm>

namespace banyancroft::gateway {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/** Unsent bytes after which the peer is considered stuck. Above the largest answer of a replica. */
constexpr std::size_t maxUnsentBytes = 16 * 1024 * 1024;
/**
 * With fewer unsent bytes, a slow peer is not ended when memory is short: the loss of the connection ends all
 * requests on it, and would free little.
 */
constexpr std::size_t minEndedBytes = 1024 * 1024;
/** Sent bytes at the start of the buffer that are kept rather than moving the others. */
constexpr std::size_t maxSentBytesKept = 64 * 1024;

} // namespace

FrameConnection::FrameConnection(tcp::socket socket, std::size_t maxFrameBytes, Hooks hooks)
    : socket_(std::move(socket))
    , hooks_(std::move(hooks))
    , reader_(maxFrameBytes)
    , memory_(hooks_.memory, MemoryUse::Frames, [this] { close(); })
{
}

void FrameConnection::updateMemory()
{
    const auto incoming = reader_.incompleteBytes();
    memory_.hold(std::max(reader_.bufferedBytes(), incoming) + writeBuffer_.size());
    const bool waits = writeBuffer_.size() - bytesWritten_ >= minEndedBytes || incoming >= minEndedBytes;
    if (waits == waitsForPeer_)
        return;
    waitsForPeer_ = waits;
    if (waits) {
        memory_.waitForPeer(BootClock::now());
    } else {
        memory_.stopWaitingForPeer();
    }
}

void FrameConnection::start(TimePoint now)
{
    lastReceivedAt_ = now;
    error_code ignored;
    // Without TCP_NODELAY frames are only slower, so a failure is ignored.
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    read();
}

void FrameConnection::read()
{
    socket_.async_read_some(boost::asio::buffer(chunk_),
        [self = shared_from_this()](const error_code& failure, std::size_t count) {
            if (self->closed_)
                return;
            if (failure)
                return self->close();
            closeOnException(*self, [&] { self->handleBytes(count, BootClock::now()); });
        });
}

void FrameConnection::handleBytes(std::size_t count, TimePoint now)
{
    lastReceivedAt_ = now;
    reader_.append({ chunk_.data(), count });
    Error reason;
    while (!closed_) {
        auto frame = reader_.next(reason);
        if (!frame)
            break;
        hooks_.frame(std::move(*frame));
    }
    if (reason) {
        telemetry::log(telemetry::LogLevel::Warn, "handover",
            "closing connection that carries malformed frames", { { "reason", toString(reason) } });
        close();
    }
    if (closed_)
        return;
    memory_.progressed(count, now);
    reserveMemory(now);
    if (closed_)
        return;
    updateMemory();
    read();
}

void FrameConnection::reserveMemory(TimePoint now)
{
    const auto incoming = reader_.incompleteBytes();
    const auto needed = incoming + writeBuffer_.size();
    // Small frames hold the requests together; the number of connections limits them.
    if (incoming <= MemoryHolder::smallBytes || needed <= memory_.held() || memory_.tryHold(needed, now))
        return;
    const auto skipped = closed_ ? std::nullopt : reader_.skipIncomplete();
    const bool ofRequest = skipped && (skipped->isOffer || skipped->isAnswer);
    telemetry::log(telemetry::LogLevel::Warn, "handover",
        ofRequest ? "discarding a frame because memory is short"
                  : "closing connection because memory is short",
        { { "frame_bytes", std::to_string(incoming) } });
    if (!ofRequest)
        return close();
    if (hooks_.skipped)
        hooks_.skipped(*skipped);
}

void FrameConnection::send(const handover::Frame& frame)
{
    if (closed_)
        return;
    writeBuffer_.append(handover::encode(frame));
    if (writeBuffer_.size() - bytesWritten_ > maxUnsentBytes) {
        telemetry::log(telemetry::LogLevel::Warn, "handover", "closing connection whose peer does not read",
            { { "unsent_bytes", std::to_string(writeBuffer_.size() - bytesWritten_) } });
        return close();
    }
    if (!writing_)
        write();
    updateMemory();
}

void FrameConnection::write()
{
    error_code failure;
    const auto count = socket_.write_some(
        boost::asio::buffer(writeBuffer_.data() + bytesWritten_, writeBuffer_.size() - bytesWritten_),
        failure);
    bytesWritten_ += count;
    memory_.progressed(count, BootClock::now());
    if (bytesWritten_ == writeBuffer_.size()) {
        if (writeBuffer_.capacity() > maxSentBytesKept) {
            writeBuffer_ = std::string();
        } else {
            writeBuffer_.clear();
        }
        bytesWritten_ = 0;
        return;
    }
    // Otherwise the sent bytes pile up while the peer is never quite caught up with.
    if (bytesWritten_ > std::max(maxSentBytesKept, writeBuffer_.size() / 2)) {
        writeBuffer_.erase(0, bytesWritten_);
        bytesWritten_ = 0;
    }
    // A broken connection is closed by the pending read, so that callers of send() are not re-entered.
    if (failure && failure != boost::asio::error::would_block)
        return;
    writing_ = true;
    socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](const error_code& waitFailure) {
        self->writing_ = false;
        if (waitFailure || self->closed_)
            return;
        self->write();
        self->updateMemory();
    });
}

void FrameConnection::close()
{
    if (closed_)
        return;
    const auto self = shared_from_this();
    closed_ = true;
    writeBuffer_ = std::string();
    bytesWritten_ = 0;
    memory_.stopWaitingForPeer();
    memory_.hold(0);
    error_code ignored;
    socket_.close(ignored);
    hooks_.closed();
}

} // namespace banyancroft::gateway
