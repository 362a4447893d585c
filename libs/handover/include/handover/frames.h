#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"
#include "http/message_writer.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace banyancroft::handover {

/**
 * Messages on the connection between an ingress VM and a dispatcher.
 *
 * A request is handed over in two phases: the ingress VM offers it, the dispatcher accepts, and the ingress
 * VM lets it begin. A dispatcher that is suspended or cut off never accepts, so the ingress VM can offer the
 * request to another one, or send it itself, and the request still runs at most once. `number` identifies the
 * request on its connection.
 */
struct Offer {
    std::uint64_t number = 0;
    /** Newest configuration that the ingress VM knows to be in force. */
    std::uint64_t configurationVersion = 0;
    /** The request of the caller, serialised as HTTP. */
    std::string request;
};

/** The dispatcher is ready to run the request; it waits for Begin for a limited time. */
struct Acceptance {
    std::uint64_t number = 0;
    std::uint64_t configurationVersion = 0;
};

enum class DeclineReason : std::uint8_t {
    Stopping = 0,
    NotDispatching = 1,
    /** The dispatcher's configuration is older than that of the ingress VM. */
    OlderConfiguration = 2,
    Overloaded = 3,
    /** Begin arrived too late. */
    Lapsed = 4,
    Malformed = 5,
};

std::string_view toString(DeclineReason reason);

/** The dispatcher has not run the request and will not run it. */
struct Decline {
    std::uint64_t number = 0;
    DeclineReason reason = DeclineReason::Stopping;
    std::uint64_t configurationVersion = 0;
};

struct Begin {
    std::uint64_t number = 0;
    /** Time since the first byte of the request arrived at the ingress VM. */
    Duration elapsed {};
    /** Time that the answer takes back to the ingress VM. */
    Duration returnDelay {};
    /** The request is the first one on the caller's connection. */
    bool openedConnection = false;
};

struct Answer {
    std::uint64_t number = 0;
    http::Response response;
};

/** The ingress VM no longer needs the answer. */
struct Cancel {
    std::uint64_t number = 0;
};

/** State of the dispatcher; sent on connect, on changes and as the answer to StatusQuery. */
struct Status {
    /** False while the dispatcher stops or has left the tier. */
    bool accepting = false;
    /** Time for which the dispatcher has been cut off from the other availability zones; empty if it is not.
     */
    std::optional<Duration> cutOffFor;
    /** Fraction of the dispatcher's processor share in use, 0 to 1. */
    double utilization = 0;
};

struct StatusQuery { };

/** A replica has told the dispatcher that it is leaving; sent at once, and on connect if it was before. */
struct UpstreamLeaving {
    UpstreamId upstream;
    /** Identifies the run of the replica: its start in Unix ms, as registered. */
    std::uint64_t startedAtUnixMillis = 0;
};

/** Asks the owner of a customer's credit for one request. */
struct CreditRequest {
    std::uint64_t number = 0;
    CustomerId customer;
    /** The VM that runs the request. */
    VmId asker;
    /** The request can no longer meet its latency objective. */
    bool isLate = false;
};

enum class CreditDecision : std::uint8_t {
    Granted = 0,
    OverLimit = 1,
    /** The VM does not hold the customer's credit. */
    NotOwner = 2,
};

struct CreditReply {
    std::uint64_t number = 0;
    CreditDecision decision = CreditDecision::NotOwner;
    /** For OverLimit: time after which the caller may return. */
    Duration retryAfter {};
};

/** A request that had credit has not run. */
struct CreditReturn {
    CustomerId customer;
};

using Frame = std::variant<Offer, Acceptance, Decline, Begin, Answer, Cancel, Status, StatusQuery,
    UpstreamLeaving, CreditRequest, CreditReply, CreditReturn>;

/** Encodes a frame as its length in four bytes, most significant first, followed by a MessagePack array. */
std::string encode(const Frame& frame);

/** The kind and the request of a frame whose content was not kept. */
struct SkippedFrame {
    bool isOffer = false;
    bool isAnswer = false;
    std::uint64_t number = 0;
};

/** Splits the bytes of a connection into frames. Holds at most one incomplete frame. */
class FrameReader {
public:
    /** @param maxFrameBytes a longer frame is an error */
    explicit FrameReader(std::size_t maxFrameBytes)
        : maxFrameBytes_(maxFrameBytes)
    {
    }

    void append(std::string_view bytes);
    /**
     * @return the next complete frame; empty if more bytes are needed or, with a reason, if the bytes are not
     * a frame. After such an error the connection cannot be read any further.
     */
    std::optional<Frame> next(Error& reason);
    /** Bytes that are kept, read or not. */
    std::size_t bufferedBytes() const { return buffer_.size(); }
    /** Size of the frame that is received in part; zero if there is none or its length is not known yet. */
    std::size_t incompleteBytes() const;
    /**
     * Discards the frame that is received in part, including its bytes that are still to come.
     * @return empty if too few bytes were received to tell what the frame is about; nothing is discarded then
     */
    std::optional<SkippedFrame> skipIncomplete();

private:
    /** Length of the frame at the start of the unread bytes, without the length itself. */
    std::optional<std::size_t> nextLength() const;

    const std::size_t maxFrameBytes_;
    std::string buffer_;
    std::size_t consumed_ = 0;
    /** Bytes of a discarded frame that are still to come. */
    std::size_t skippedBytes_ = 0;
};

} // namespace banyancroft::handover
