#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "base/time.h"
#include "store/store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace banyancroft::claims {

/** State of one idempotency key at the store. */
enum class ClaimState : std::uint8_t {
    /** A daemon holds the claim; the request may be running. */
    Pending,
    /** The request ran; its result is stored. */
    Done,
    /** The request may have run and must not be run again. */
    Unknown,
    /** The request certainly did not run; the next request with this key may claim it. */
    Released,
};

std::string_view toString(ClaimState state);

/** Value stored under `claims/<service>/<key>`. */
struct ClaimRecord {
    /** Unique to one claim attempt, so that a daemon recognises its own write after a lost reply. */
    std::string nonce;
    ClaimState state = ClaimState::Pending;
    /** Hash of operation and payload; detects a key that is reused for a different request. */
    std::string fingerprint;
    /** JSON result; empty unless the state is ClaimState::Done. */
    std::string result;

    bool operator==(const ClaimRecord&) const = default;
};

std::string toJson(const ClaimRecord& record);
/** @return empty with ErrorKind::MalformedMessage in `reason` when the text is not a claim record */
std::optional<ClaimRecord> parseClaimRecord(std::string_view text, Error& reason);

/** Hash of operation and payload as hexadecimal text. */
std::string fingerprintOf(std::string_view operation, std::string_view payload);

/** A claim that this daemon holds, which gives it the right to send the request once. */
struct HeldClaim {
    std::string storeKey;
    ClaimRecord record;
    store::Revision revision;
};

struct ClaimAnswer {
    enum class Kind : std::uint8_t {
        /** The claim is held: send the request once, then call finish(). */
        Held,
        /** A request with this key ran before; `result` is its result. */
        AlreadyDone,
        /** Another request with this key may be running or may have run. */
        Unknown,
        /** The key was used for a different operation or payload. */
        Mismatch,
        /** The key could not be claimed; the request was not sent. */
        Refused,
    };
    Kind kind = Kind::Refused;
    Reason reason = Reason::None;
    /** Set only with Kind::Held. */
    std::optional<HeldClaim> held;
    /** Set only with Kind::AlreadyDone. */
    std::string result;
};

/**
 * Claims idempotency keys at the store before a non-idempotent request is sent.
 *
 *     claims.claim(service, key, fingerprint, deadline, [&](ClaimAnswer answer) {
 *         if (answer.kind == ClaimAnswer::Kind::Held)
 *             send(…, [held = *answer.held](Outcome outcome) { claims.finish(held, outcome, result, …); });
 *     });
 *
 * After a write whose reply is lost, the key is read back; the claim is held only if the read shows this
 * attempt's nonce. The write of an abandoned attempt can still take effect later, so it is looked for and
 * released in the background. If the holder of a claim dies, the claim stays pending and later requests with
 * its key are answered Unknown, since running the request again could run it twice.
 *
 * A store that is restored from an older copy loses claims that it had confirmed. The restore is noticed when
 * an answer has a lower revision than was known before its call, or when the newest claim of this object is
 * missing, which revisionSeen() checks. From then on, keys are refused for Hooks::restoreGrace, in which
 * every daemon writes back the claims that it held in the last minute. A restore that loses fewer revisions
 * than were written since this daemon's last answer is not noticed.
 *
 * Used only on the control thread, like the store; callbacks run there. The store and whatever the hooks
 * refer to must outlive it.
 */
class Claims {
public:
    struct Hooks {
        std::function<TimePoint()> now;
        /** Runs a function after a delay, on the control thread. */
        std::function<void(Duration, std::function<void()>)> after;
        std::function<std::uint64_t()> random;
        /**
         * How long keys are refused after the store returned to an older state. Must exceed the longest time
         * between two calls of revisionSeen(), so that the other daemons have noticed it too.
         */
        Duration restoreGrace = std::chrono::seconds(6);
        /** Called when the store was found to have returned to an older state; may be empty. */
        std::function<void()> onRestored {};
    };

    Claims(store::Store& store, std::string keyPrefix, Hooks hooks);
    ~Claims();

    /**
     * Claims a key.
     * @param deadline the request is not sent after this time: a claim obtained later is released and
     * answered with Kind::Refused
     * @param callback called exactly once
     */
    void claim(const ServiceId& service, const IdempotencyKey& key, std::string fingerprint,
        TimePoint deadline, std::function<void(ClaimAnswer)> callback);

    /**
     * Writes the outcome into the claim record, with retries while the store is unavailable.
     * @param onRecorded called when the store confirmed the outcome or all attempts failed; may be empty
     */
    void finish(const HeldClaim& held, Outcome outcome, std::string result, std::function<void()> onRecorded);

    /**
     * Tells the revision that an answer to a call of another client of the store gave. Makes this object
     * check the store if it has held claims in the last minute or the revision is lower than a known one.
     */
    void revisionSeen(store::Revision revision);

    /** Number of outcomes that the store has not confirmed; a planned stop waits until it is zero. */
    std::size_t unrecorded() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace banyancroft::claims
