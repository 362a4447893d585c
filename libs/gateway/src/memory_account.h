#pragma once

#include "base/time.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string_view>
#include <unordered_set>

namespace banyancroft::gateway {

/** What a holder of memory holds. */
enum class MemoryUse { Caller, UpstreamResponse, Parts, Frames };

std::string_view toString(MemoryUse use);

class MemoryHolder;

/** A holder that was ended to make room for others. */
struct EndedHolder {
    MemoryUse use = MemoryUse::Caller;
    std::size_t bytes = 0;
    /** Bytes that its peer sent or took per second. */
    double bytesPerSecond = 0;
};

/**
 * Limits the memory that requests, responses and frames of all connections hold together.
 *
 * When the limit is reached, holders whose peers progress more slowly than an ordinary one are ended, the
 * slowest first; a holder at an ordinary rate never is. If there is none, the request for memory is denied,
 * and the connection reads no further until there is room.
 */
class MemoryAccount {
public:
    struct Limits {
        /** Bytes for all holders together. */
        std::size_t bytes = 0;
        /** Bytes on top of these that only small holders may use. */
        std::size_t smallReserve = 0;
    };

    explicit MemoryAccount(Limits limits)
        : limits_(limits)
    {
    }
    MemoryAccount(const MemoryAccount&) = delete;
    MemoryAccount& operator=(const MemoryAccount&) = delete;

    /** @param handler called after a holder was ended to make room */
    void onEnded(std::function<void(const EndedHolder&)> handler) { ended_ = std::move(handler); }
    /** Starts the measurement of all rates anew: after a stall of the process, no peer could progress. */
    void restartRates(TimePoint now);

    /** Measures how much memory is given back; call several times a second. */
    void measure(TimePoint now);
    /**
     * Time until `bytes` more are likely to fit, at the highest rate at which memory was given back in one of
     * the last windows; empty before enough windows were measured.
     */
    std::optional<Duration> expectedWait(std::size_t bytes) const;

    std::size_t total() const { return total_; }
    const Limits& limits() const { return limits_; }

    /** Time over which a rate is measured. */
    static constexpr Duration rateWindow = std::chrono::seconds(1);
    /** Bytes per second from which a peer counts as an ordinary one. */
    static constexpr double ordinaryRate = 64.0 * 1024;
    /** Windows for expectedWait(); the highest rate of several avoids refusals after a short pause. */
    static constexpr std::size_t measuredWindows = 5;

private:
    friend class MemoryHolder;

    /** Ends slow holders until `bytes` more fit below `limit`; false if they do not fit. */
    bool makeRoom(std::size_t bytes, std::size_t limit, const MemoryHolder& requester, TimePoint now);

    const Limits limits_;
    std::size_t total_ = 0;
    /** Bytes given back since the start of the window, and the rates of the windows before. */
    std::size_t givenBack_ = 0;
    TimePoint windowStartedAt_ {};
    std::deque<double> rates_;
    std::function<void(const EndedHolder&)> ended_;
    /** Holders that depend on the progress of their peer. */
    std::unordered_set<MemoryHolder*> dependent_;
};

/** The memory that one connection or request holds; given back by the destructor. */
class MemoryHolder {
public:
    /**
     * @param account outlives the holder; nullptr: nothing is counted or limited
     * @param end ends the connection; called while another holder asks for memory
     */
    MemoryHolder(MemoryAccount* account, MemoryUse use, std::function<void()> end);
    ~MemoryHolder();
    MemoryHolder(const MemoryHolder&) = delete;
    MemoryHolder& operator=(const MemoryHolder&) = delete;

    /**
     * Asks to hold `bytes` in total before they are received.
     * @return false if there is no room; the holder keeps what it has
     */
    bool tryHold(std::size_t bytes, TimePoint now);
    /**
     * Asks to hold `bytes` in total for a request until its response. A request of an ordinary size is always
     * admitted; the number of connections limits these. Others may not use the reserve, which responses need.
     */
    bool tryHoldRequest(std::size_t bytes, TimePoint now);
    /** Counts memory that is in use already, also beyond the limit. */
    void hold(std::size_t bytes);
    std::size_t held() const { return held_; }
    /** Bytes that an empty account could hold. */
    std::size_t maxBytes() const { return account_ ? account_->limits().bytes : ~std::size_t { 0 }; }

    /** From now on the peer's progress determines how long the memory is held. */
    void waitForPeer(TimePoint now);
    /** The memory is held for reasons other than the peer's progress. */
    void stopWaitingForPeer();
    /** Counts bytes that the peer has sent or taken. */
    void progressed(std::size_t bytes, TimePoint now);

    /** A holder of at most this many bytes may use the reserve for small ones. */
    static constexpr std::size_t smallBytes = 16 * 1024;
    /** A request whose head holds at most this much memory is of an ordinary size. */
    static constexpr std::size_t ordinaryRequestBytes = 4 * 1024;

private:
    friend class MemoryAccount;

    bool tryHoldWithin(std::size_t limit, std::size_t bytes, TimePoint now);
    /** Rate of the peer in the last complete window; empty before the end of the first one. */
    std::optional<double> rate(TimePoint now) const;

    MemoryAccount* const account_;
    const MemoryUse use_;
    const std::function<void()> end_;
    std::size_t held_ = 0;
    TimePoint windowStartedAt_ {};
    std::size_t windowBytes_ = 0;
    std::optional<double> lastRate_;
};

} // namespace banyancroft::gateway
