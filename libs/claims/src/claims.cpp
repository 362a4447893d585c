#include "claims/claims.h"

#include <algorithm>
#include <deque>
#include <unordered_map>

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
// Claims obtained within this time are written back to a store that lost them. Longer than the age of the
// copies that a store is restored from, which is some seconds.
constexpr Duration retentionTime = std::chrono::seconds(60);
// Bounds the memory for retained results.
constexpr std::size_t maxRetainedClaims = 2'000;

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
        if (isUncertain())
            return answer(attempt, refused());
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
        if (outcome == Outcome::NotRun)
            retained_.erase(held.storeKey);
        else
            retain(held.storeKey, recording->final);
        record(recording);
    }

    void revisionSeen(store::Revision revision)
    {
        if (!revision || checkingStore_)
            return;
        const auto* newest = newestRetained();
        if (revision >= newestRevision_) {
            newestRevision_ = revision;
            if (!newest)
                return;
        }
        // A lower revision may belong to an answer that was overtaken, and a higher one may be that of a
        // restored store with new writes. The store is asked for the claim that it would have lost first.
        checkingStore_ = true;
        get(newest ? *newest : keyPrefix_,
            [self = shared_from_this(), known = known(), key = newest ? *newest : std::string()](
                const std::optional<store::Listing>& listing, const Error&) {
                self->checkingStore_ = false;
                if (listing && listing->entries.empty() && known.restores == self->restores_
                    && self->retained_.contains(key))
                    self->handleRestore(listing->revision);
            });
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

    struct Retained {
        ClaimRecord record;
        TimePoint since;
    };

    /** What was known of the store when a call was made. */
    struct Known {
        store::Revision revision;
        std::uint64_t restores = 0;
    };

    bool isUncertain() const { return hooks_.now() < uncertainUntil_; }

    void get(std::string_view key, store::Callback<store::Listing> callback)
    {
        store_.get(key,
            [self = shared_from_this(), known = known(), callback = std::move(callback)](
                std::optional<store::Listing> listing, const Error& reason) {
                if (listing)
                    self->compareRevision(listing->revision, known);
                callback(std::move(listing), reason);
            });
    }

    void compareAndSwap(store::Swap swap, store::Callback<store::SwapResult> callback)
    {
        store_.compareAndSwap(std::move(swap),
            [self = shared_from_this(), known = known(), callback = std::move(callback)](
                std::optional<store::SwapResult> result, const Error& reason) {
                if (result)
                    self->compareRevision(result->revision, known);
                callback(std::move(result), reason);
            });
    }

    Known known() const { return { newestRevision_, restores_ }; }

    // Reads and swaps are linearizable: an answer below a revision that was known before the call shows that
    // the store has returned to an older state.
    void compareRevision(store::Revision revision, const Known& known)
    {
        if (!revision || known.restores != restores_ || stopped_)
            return;
        if (revision >= known.revision) {
            newestRevision_ = std::max(newestRevision_, revision);
            return;
        }
        handleRestore(revision);
    }

    void handleRestore(store::Revision revision)
    {
        if (stopped_)
            return;
        ++restores_;
        newestRevision_ = revision;
        uncertainUntil_ = hooks_.now() + hooks_.restoreGrace;
        if (hooks_.onRestored)
            hooks_.onRestored();
        dropOldRetained();
        for (const auto& [storeKey, retained] : retained_)
            writeBack(storeKey, retained.record);
    }

    void writeBack(const std::string& storeKey, const ClaimRecord& claimRecord)
    {
        ++unrecorded_;
        auto recording = std::make_shared<Recording>();
        recording->held = { storeKey, claimRecord, {} };
        recording->final = claimRecord;
        record(recording);
    }

    void retain(const std::string& storeKey, const ClaimRecord& claimRecord)
    {
        retained_[storeKey] = { claimRecord, hooks_.now() };
        retainedOrder_.emplace_back(hooks_.now(), storeKey);
        dropOldRetained();
    }

    /** Key of the claim that was retained last; null if none is retained. */
    const std::string* newestRetained()
    {
        dropOldRetained();
        const auto found = std::find_if(retainedOrder_.rbegin(), retainedOrder_.rend(),
            [this](const auto& entry) { return retained_.contains(entry.second); });
        return found == retainedOrder_.rend() ? nullptr : &found->second;
    }

    void dropOldRetained()
    {
        const TimePoint oldest = hooks_.now() - retentionTime;
        while (!retainedOrder_.empty()
            && (retainedOrder_.size() > maxRetainedClaims || retainedOrder_.front().first < oldest)) {
            const auto& [since, storeKey] = retainedOrder_.front();
            // A key that was retained again is listed again further back.
            const auto found = retained_.find(storeKey);
            if (found != retained_.end() && found->second.since <= since)
                retained_.erase(found);
            retainedOrder_.pop_front();
        }
    }

    // Writes the attempt's record if the key is at the expected revision (zero: the key must not exist).
    void write(const AttemptPointer& attempt, store::Revision expected)
    {
        compareAndSwap({ attempt->storeKey, expected, toJson(attempt->record), {} },
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
        get(attempt->storeKey,
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
        // Another daemon may have held this key before the restore; its record replaces this one, which is
        // released only if that has not happened.
        if (isUncertain())
            return abandon(attempt);
        HeldClaim held { attempt->storeKey, attempt->record, revision };
        if (hooks_.now() >= attempt->deadline) {
            finish(held, Outcome::NotRun, {}, {});
            return answer(attempt, refused());
        }
        retain(held.storeKey, held.record);
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
        const Duration delay = attempts == 0
            ? std::max<Duration>(abandonedWriteDelay, uncertainUntil_ - hooks_.now())
            : retryDelay(attempts);
        hooks_.after(delay, [self = shared_from_this(), attempt, attempts] {
            if (self->stopped_)
                return;
            self->get(attempt->storeKey,
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
        compareAndSwap({ recording->held.storeKey, recording->held.revision, toJson(recording->final), {} },
            [self = shared_from_this(), recording](
                const std::optional<store::SwapResult>& result, const Error&) {
                if (self->stopped_ || recording->attempts >= maxRecordAttempts)
                    return self->recorded(recording);
                if (!result) {
                    return self->hooks_.after(
                        retryDelay(recording->attempts), [self, recording] { self->record(recording); });
                }
                if (result->swapped || !mustReplace(*recording, result->current))
                    return self->recorded(recording);
                recording->held.revision = result->current ? result->current->modified : store::Revision {};
                self->record(recording);
            });
    }

    // Decides whether a swap that found another revision has to be repeated with the revision found. Without
    // a restore of the store, only the holder writes the key of a held claim: what was found is the holder's
    // own earlier write, whose reply was lost, or the claim of a later request made after a release.
    static bool mustReplace(const Recording& recording, const std::optional<store::KeyValue>& found)
    {
        const auto state = recording.final.state;
        if (!found)
            return state != ClaimState::Released;
        Error reason;
        const auto record = parseClaimRecord(found->value, reason);
        if (!record)
            return false;
        if (record->nonce == recording.final.nonce)
            return record->state == ClaimState::Pending && state != ClaimState::Pending;
        return state != ClaimState::Released && record->state != ClaimState::Done;
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
    store::Revision newestRevision_;
    bool checkingStore_ = false;
    /** Number of times that the store was found to have returned to an older state. */
    std::uint64_t restores_ = 0;
    TimePoint uncertainUntil_ {};
    /** Claims by store key that were held recently and not released. */
    std::unordered_map<std::string, Retained> retained_;
    std::deque<std::pair<TimePoint, std::string>> retainedOrder_;
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

void Claims::revisionSeen(store::Revision revision) { impl_->revisionSeen(revision); }

std::size_t Claims::unrecorded() const { return impl_->unrecorded(); }

} // namespace banyancroft::claims
