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

/** What the store knows of one idempotency key. */
enum class ClaimState : std::uint8_t {
    /** A daemon holds the claim; the request may be running. */
    Pending,
    /** It ran; the result is kept. */
    Done,
    /** It may have run. Nobody may run it again. */
    Unknown,
    /** It certainly did not run; the next request with this key may claim it. */
    Released,
};

std::string_view toString(ClaimState state);

/** Value kept at the store under `claims/<service>/<key>`. */
struct ClaimRecord {
    /** Unique to one attempt, so that a daemon recognises its own write after a lost reply. */
    std::string nonce;
    ClaimState state = ClaimState::Pending;
    /** Hash of operation and payload: a key must not be used for two different requests. */
    std::string fingerprint;
    /** JSON result; only with ClaimState::Done. */
    std::string result;

    bool operator==(const ClaimRecord&) const = default;
};

std::string toJson(const ClaimRecord& record);
std::optional<ClaimRecord> parseClaimRecord(std::string_view text, Error& reason);

/** Hash of operation and payload as hexadecimal text. */
std::string fingerprintOf(std::string_view operation, std::string_view payload);

/** A claim that this daemon holds: the right to send the request once. */
struct HeldClaim {
    std::string storeKey;
    ClaimRecord record;
    store::Revision revision;
};

struct ClaimAnswer {
    enum class Kind : std::uint8_t {
        /** Send the request, once, then call finish(). */
        Held,
        /** It ran before; `result` is its result. */
        AlreadyDone,
        /** Another request with this key may be running or may have run. */
        Unknown,
        /** The key was used for another operation or payload. */
        Mismatch,
        /** No claim could be made; the request was not run. */
        Refused,
    };
    Kind kind = Kind::Refused;
    Reason reason = Reason::None;
    std::optional<HeldClaim> held;
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
 * A write whose reply is lost is resolved by reading back; until a read shows this attempt's nonce the
 * claim is not held. An attempt that is given up is released in the background, since its write can still
 * take effect later. A claim whose holder dies stays pending, and later requests with its key are told
 * Unknown: running it again could double it.
 *
 * Lives on the control thread, as the store does; callbacks run there. The store and the hooks outlive it.
 */
class Claims {
public:
    struct Hooks {
        std::function<TimePoint()> now;
        /** Runs a function after a delay, on the control thread. */
        std::function<void(Duration, std::function<void()>)> after;
        std::function<std::uint64_t()> random;
    };

    Claims(store::Store& store, std::string keyPrefix, Hooks hooks);
    ~Claims();

    /**
     * Claims a key.
     * @param deadline no dispatch after this time: a claim obtained later is released and Refused
     * @param callback runs exactly once
     */
    void claim(const ServiceId& service, const IdempotencyKey& key, std::string fingerprint,
        TimePoint deadline, std::function<void(ClaimAnswer)> callback);

    /**
     * Writes the outcome into the claim, with retries while the store is down.
     * @param onRecorded runs when the store confirmed the outcome or all attempts failed; may be empty
     */
    void finish(const HeldClaim& held, Outcome outcome, std::string result, std::function<void()> onRecorded);

    /** Outcomes not yet confirmed by the store; a planned stop waits for zero. */
    std::size_t unrecorded() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace banyancroft::claims
