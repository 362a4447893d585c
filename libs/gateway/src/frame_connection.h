#pragma once

#include "base/time.h"
#include "handover/frames.h"
#include "memory_account.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace banyancroft::gateway {

/**
 * Connection between an ingress VM and a dispatcher that carries frames in both directions. Closes itself
 * when the peer sends bytes that are not a frame or does not read what is sent to it. When memory is short, a
 * large offer or answer is not kept, and only its request fails.
 */
class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
public:
    struct Hooks {
        std::function<void(handover::Frame)> frame;
        /** An offer or an answer was discarded because memory is short. */
        std::function<void(const handover::SkippedFrame&)> skipped;
        /** Called once, also after close(). */
        std::function<void()> closed;
        /** Memory of all connections; nullptr: not limited. Outlives the connection. */
        MemoryAccount* memory = nullptr;
    };

    /** @param maxFrameBytes limit on a frame of the peer */
    FrameConnection(boost::asio::ip::tcp::socket socket, std::size_t maxFrameBytes, Hooks hooks);

    void start(TimePoint now);
    void send(const handover::Frame& frame);
    void close();
    /** Time of the last bytes of the peer, or of the start. */
    TimePoint lastReceivedAt() const { return lastReceivedAt_; }

private:
    void read();
    void handleBytes(std::size_t count, TimePoint now);
    void write();
    /**
     * Reserves memory for the frame that is received in part. If there is none, an offer or an answer is
     * discarded, and the connection is closed for any other frame.
     */
    void reserveMemory(TimePoint now);
    /** Counts the bytes of incomplete frames and those that the peer has not taken. */
    void updateMemory();

    boost::asio::ip::tcp::socket socket_;
    Hooks hooks_;
    handover::FrameReader reader_;
    std::array<char, 4096> chunk_ {};
    std::string writeBuffer_;
    std::size_t bytesWritten_ = 0;
    TimePoint lastReceivedAt_ {};
    bool writing_ = false;
    bool closed_ = false;
    bool waitsForPeer_ = false;
    MemoryHolder memory_;
};

} // namespace banyancroft::gateway
