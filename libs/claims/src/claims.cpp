#include "claims/claims.h"

#include <algorithm>

namespace banyancroft::claims {

namespace {

constexpr Duration minRetryDelay = std::chrono::milliseconds(50);
constexpr Duration maxRetryDelay = std::chrono::seconds(5);
// A write whose connection broke may reach the store later, so the key is read again after this time before
// the write is taken to be lost.
constexpr Duration abandonedWriteDelay = std::chrono::seconds(5);
// About an hour of retries at the longest delay. An outcome that is never recorded leaves the claim pending,
// which is safe: later requests with its key are answered Unknown.
constexpr unsigned maxRecordAttempts = 720;

Duration retryDelay(unsigned attempt)
{
    const unsigned doublings = std::min(attempt, 7U);
    return std::min(maxRetryDelay, minRetryDelay * (1U << doublings));
}

ClaimState stateAfter(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Done:
        return ClaimState::Done;
    case Outcome::NotRun:
        return ClaimState::Released;
    case Outcome::Unknown:
        return ClaimState::Unknown;
    }
    return ClaimState::Unknown;
}

ClaimAnswer refused() { return { ClaimAnswer::Kind::Refused, Reason::ClaimUnavailable, std::nullopt, {} }; }

} // namespace

class Claims::Impl : public std::enable_shared_from_this<Claims::Impl> {
public:
    Impl(store::Store& store, std::string keyPrefix, Hooks hooks)
        : store_(store)
        , keyPrefix_(std::move(keyPrefix))
        , hooks_(std::move(hooks))
    {
    }

    struct Attempt {
        std::string storeKey;
        ClaimRecord record;
        TimePoint deadline;
        std::function<void(ClaimAnswer)> callback;
    };
    using AttemptPointer = std::shared_ptr<Attempt>;

    void claim(const ServiceId& service, const IdempotencyKey& key, std::string fingerprint,
        TimePoint deadline, std::function<void(ClaimAnswer)> callback)
    {
        auto attempt = std::make_shared<Attempt>();
        attempt->storeKey = keyPrefix_ + service.str() + "/" + key.str();
        attempt->record = { std::to_string(hooks_.random()) + "-" + std::to_string(hooks_.random()),
            ClaimState::Pending, std::move(fingerprint), {} };
        attempt->deadline = deadline;
        attempt->callback = std::move(callback);
        write(attempt, {});
    }

    void finish(const HeldClaim& held, Outcome outcome, std::string result, std::function<void()> onRecorded)
    {
        ++unrecorded_;
        auto recording = std::make_shared<Recording>();
        recording->held = held;
        recording->final = held.record;
        recording->final.state = stateAfter(outcome);
        recording->final.result = std::move(result);
        recording->onRecorded = std::move(onRecorded);
        record(recording);
    }

    std::size_t unrecorded() const { return unrecorded_; }
    void stop() { stopped_ = true; }

private:
    struct Recording {
        HeldClaim held;
        ClaimRecord final;
        std::function<void()> onRecorded;
        unsigned attempts = 0;
    };
    using RecordingPointer = std::shared_ptr<Recording>;

    // Writes the attempt's record if the key is at the expected revision (zero: the key must not exist).
    void write(const AttemptPointer& attempt, store::Revision expected)
    {
        store_.compareAndSwap({ attempt->storeKey, expected, toJson(attempt->record), {} },
            [self = shared_from_this(), attempt](std::optional<store::SwapResult> result, const Error&) {
                if (!result)
                    return self->readBack(attempt);
                if (result->swapped)
                    return self->confirmHeld(attempt, result->revision);
                if (result->current)
                    return self->resolveFromRecord(attempt, *result->current);
                self->abandon(attempt);
            });
    }

    void readBack(const AttemptPointer& attempt)
    {
        store_.get(attempt->storeKey,
            [self = shared_from_this(), attempt](std::optional<store::Listing> listing, const Error&) {
                // An absent key does not prove that the write failed; the write may reach the store later.
                if (!listing || listing->entries.empty())
                    return self->abandon(attempt);
                self->resolveFromRecord(attempt, listing->entries.front());
            });
    }

    void resolveFromRecord(const AttemptPointer& attempt, const store::KeyValue& found)
    {
        Error reason;
        auto record = parseClaimRecord(found.value, reason);
        if (!record)
            return answer(attempt, { ClaimAnswer::Kind::Unknown, Reason::ClaimPending, std::nullopt, {} });
        if (record->nonce == attempt->record.nonce)
            return confirmHeld(attempt, found.modified);
        if (record->fingerprint != attempt->record.fingerprint)
            return answer(attempt, { ClaimAnswer::Kind::Mismatch, Reason::None, std::nullopt, {} });
        switch (record->state) {
        case ClaimState::Done:
            return answer(
                attempt, { ClaimAnswer::Kind::AlreadyDone, Reason::None, std::nullopt, record->result });
        case ClaimState::Released:
            if (hooks_.now() >= attempt->deadline)
                return answer(attempt, refused());
            return write(attempt, found.modified);
        case ClaimState::Pending:
        case ClaimState::Unknown:
            return answer(attempt, { ClaimAnswer::Kind::Unknown, Reason::ClaimPending, std::nullopt, {} });
        }
    }

    void confirmHeld(const AttemptPointer& attempt, store::Revision revision)
    {
        HeldClaim held { attempt->storeKey, attempt->record, revision };
        if (hooks_.now() >= attempt->deadline) {
            finish(held, Outcome::NotRun, {}, {});
            return answer(attempt, refused());
        }
        answer(attempt, { ClaimAnswer::Kind::Held, Reason::None, std::move(held), {} });
    }

    void abandon(const AttemptPointer& attempt)
    {
        answer(attempt, refused());
        releaseInBackground(attempt, 0);
    }

    static void answer(const AttemptPointer& attempt, ClaimAnswer claimAnswer)
    {
        if (auto callback = std::exchange(attempt->callback, nullptr))
            callback(std::move(claimAnswer));
    }

    // Reads the key until the store answers, and releases the claim if the abandoned write took effect.
    void releaseInBackground(const AttemptPointer& attempt, unsigned attempts)
    {
        if (stopped_ || attempts >= maxRecordAttempts)
            return;
        const Duration delay = attempts == 0 ? abandonedWriteDelay : retryDelay(attempts);
        hooks_.after(delay, [self = shared_from_this(), attempt, attempts] {
            if (self->stopped_)
                return;
            self->store_.get(attempt->storeKey,
                [self, attempt, attempts](std::optional<store::Listing> listing, const Error&) {
                    if (!listing)
                        return self->releaseInBackground(attempt, attempts + 1);
                    if (listing->entries.empty())
                        return;
                    const auto& found = listing->entries.front();
                    Error reason;
                    auto record = parseClaimRecord(found.value, reason);
                    if (record && record->nonce == attempt->record.nonce
                        && record->state == ClaimState::Pending)
                        self->finish({ attempt->storeKey, *record, found.modified }, Outcome::NotRun, {}, {});
                });
        });
    }

    void record(const RecordingPointer& recording)
    {
        ++recording->attempts;
        store_.compareAndSwap(
            { recording->held.storeKey, recording->held.revision, toJson(recording->final), {} },
            [self = shared_from_this(), recording](
                const std::optional<store::SwapResult>& result, const Error&) {
                // Only the holder writes the key of a held claim. A swap that finds another revision has
                // found the holder's own earlier write, whose reply was lost, or the claim of a later request
                // made after it.
                if (result || self->stopped_ || recording->attempts >= maxRecordAttempts)
                    return self->recorded(recording);
                self->hooks_.after(
                    retryDelay(recording->attempts), [self, recording] { self->record(recording); });
            });
    }

    void recorded(const RecordingPointer& recording)
    {
        --unrecorded_;
        if (recording->onRecorded)
            recording->onRecorded();
    }

    store::Store& store_;
    const std::string keyPrefix_;
    Hooks hooks_;
    std::size_t unrecorded_ = 0;
    bool stopped_ = false;
};

Claims::Claims(store::Store& store, std::string keyPrefix, Hooks hooks)
    : impl_(std::make_shared<Impl>(store, std::move(keyPrefix), std::move(hooks)))
{
}

Claims::~Claims() { impl_->stop(); }

void Claims::claim(const ServiceId& service, const IdempotencyKey& key, std::string fingerprint,
    TimePoint deadline, std::function<void(ClaimAnswer)> callback)
{
    impl_->claim(service, key, std::move(fingerprint), deadline, std::move(callback));
}

void Claims::finish(
    const HeldClaim& held, Outcome outcome, std::string result, std::function<void()> onRecorded)
{
    impl_->finish(held, outcome, std::move(result), std::move(onRecorded));
}

std::size_t Claims::unrecorded() const { return impl_->unrecorded(); }

} // namespace banyancroft::claims
