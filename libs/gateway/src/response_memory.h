#pragma once

#include <cstddef>

namespace banyancroft::gateway {

/**
 * Limits the memory of responses that are being received from all replicas together.
 *
 * Answers the load of replicas that send bodies without end on many connections at a time: each may be within
 * the limit on one response, and their sum still exceeds the memory of the VM. Small responses always fit, so
 * that the others are not affected.
 */
class ResponseMemory {
public:
    /** @param limit bytes of all connections together */
    explicit ResponseMemory(std::size_t limit)
        : limit_(limit)
    {
    }

    /**
     * Counts bytes that were received on a connection.
     * @param held bytes that the connection already holds
     * @return false if the connection has to discard its response
     */
    bool add(std::size_t held, std::size_t bytes)
    {
        total_ += bytes;
        return held + bytes <= smallResponse || total_ <= limit_;
    }
    void release(std::size_t bytes) { total_ -= bytes; }
    std::size_t total() const { return total_; }

private:
    static constexpr std::size_t smallResponse = 64 * 1024;

    const std::size_t limit_;
    std::size_t total_ = 0;
};

} // namespace banyancroft::gateway
