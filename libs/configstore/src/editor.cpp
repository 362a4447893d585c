#include "configstore/editor.h"

#include "config/apply.h"
#include "config/document_json.h"

#include <optional>
#include <utility>

namespace banyancroft::configstore {

// One change of the stored document: reads it, makes the new one, swaps it in, and reads back after a lost
// reply. Kept alive by the pending store call or retry timer.
class ConfigurationEditor::PendingChange : public std::enable_shared_from_this<PendingChange> {
public:
    /** Makes the new document from the stored one, which is null for none; empty with a reason on failure. */
    using MakeDocument
        = std::function<std::optional<config::Document>(const config::Document* stored, Error&)>;
    /** True when a later document includes the change. */
    using InEffect = std::function<bool(const config::Document&)>;

    PendingChange(
        store::Store& store, Options options, MakeDocument makeDocument, InEffect inEffect, Callback callback)
        : store_(store)
        , options_(std::move(options))
        , makeDocument_(std::move(makeDocument))
        , inEffect_(std::move(inEffect))
        , callback_(std::move(callback))
    {
    }

    void read()
    {
        ++storeCalls_;
        store_.get(documentKey,
            [self = shared_from_this()](std::optional<store::Listing> listing, const Error& error) {
                if (!listing)
                    return self->onReadFailed(error);
                const auto& entries = listing->entries;
                self->onDocumentRead(entries.empty() ? nullptr : &entries.front());
            });
    }

private:
    void onDocumentRead(const store::KeyValue* stored)
    {
        std::optional<config::Document> document;
        if (stored != nullptr) {
            Error reason;
            document = config::parseDocument(stored->value, reason);
            if (!document) {
                reason.message = "the document at the store is invalid: " + reason.message;
                // After a swap of unknown outcome, an unreadable document does not show whether the swap took
                // effect.
                return finish({ reason, newDocument_ != nullptr, nullptr });
            }
        }
        const store::Revision revision = stored == nullptr ? store::Revision {} : stored->modified;
        if (newDocument_)
            return resolveOutcome(document ? &*document : nullptr, revision);
        Error reason;
        auto updated = makeDocument_(document ? &*document : nullptr, reason);
        if (!updated)
            return finish({ reason, false, nullptr });
        newDocument_ = std::make_shared<const config::Document>(std::move(*updated));
        expectedRevision_ = revision;
        swap();
    }

    void swap()
    {
        ++storeCalls_;
        store_.compareAndSwap(
            { std::string(documentKey), expectedRevision_, config::toJson(*newDocument_), {} },
            [self = shared_from_this()](std::optional<store::SwapResult> result, const Error& error) {
                if (!result)
                    return self->onSwapFailed(error);
                if (result->swapped)
                    return self->finish({ {}, false, self->newDocument_ });
                // The stored document may be the new one, from an earlier swap whose reply was lost.
                self->onDocumentRead(result->current ? &*result->current : nullptr);
            });
    }

    void onReadFailed(const Error& error)
    {
        if (!newDocument_) {
            return finish({ { error.kind, "the store cannot be read: " + error.message,
                                "nothing was changed; try again when the store is available" },
                false, nullptr });
        }
        retry(error);
    }

    void onSwapFailed(const Error& error) { retry(error); }

    void retry(const Error& error)
    {
        if (storeCalls_ >= options_.maxStoreCalls) {
            return finish({ { error.kind, "the store did not confirm the change: " + error.message,
                                "it may still come into force; compare `show config` with the change" },
                true, nullptr });
        }
        if (!options_.runAfter)
            return read();
        options_.runAfter(options_.retryDelay, [self = shared_from_this()] { self->read(); });
    }

    // Determines by version and content whether the swap took effect.
    void resolveOutcome(const config::Document* stored, store::Revision revision)
    {
        if (stored != nullptr && (*stored == *newDocument_ || inEffectInLaterVersion(*stored))) {
            return finish({ {}, false, std::make_shared<const config::Document>(*stored) });
        }
        if (revision == expectedRevision_) {
            // The write has not taken effect, but it may still be in flight.
            const Error error { ErrorKind::TimedOut, "the key is unchanged after the swap", {} };
            return storeCalls_ >= options_.maxStoreCalls ? retry(error) : swap();
        }
        const std::string version = stored == nullptr ? "no" : std::to_string(stored->version.value);
        finish({ { ErrorKind::Conflict,
                     "another change was stored first; the store holds version " + version
                         + ", which does not include this change",
                     "check the configuration in force and send the command again if it still applies" },
            false, nullptr });
    }

    bool inEffectInLaterVersion(const config::Document& stored) const
    {
        return stored.version > newDocument_->version && inEffect_(stored);
    }

    void finish(const EditResult& result)
    {
        if (auto callback = std::exchange(callback_, nullptr))
            callback(result);
    }

    store::Store& store_;
    Options options_;
    MakeDocument makeDocument_;
    InEffect inEffect_;
    Callback callback_;
    std::shared_ptr<const config::Document> newDocument_;
    store::Revision expectedRevision_;
    unsigned storeCalls_ = 0;
};

ConfigurationEditor::ConfigurationEditor(store::Store& store, Options options)
    : store_(store)
    , options_(std::move(options))
{
}

void ConfigurationEditor::edit(
    const config::Edit& edit, const std::shared_ptr<const config::Document>& inForce, Callback callback)
{
    auto makeDocument
        = [edit, inForce](const config::Document* stored, Error& reason) -> std::optional<config::Document> {
        const ConfigVersion storedVersion = stored == nullptr ? ConfigVersion {} : stored->version;
        if (inForce && storedVersion < inForce->version) {
            reason = { ErrorKind::Unavailable,
                "the store holds version " + std::to_string(storedVersion.value)
                    + ", but in force is version " + std::to_string(inForce->version.value),
                "nothing was changed; try again when the store has the version in force" };
            return std::nullopt;
        }
        return stored == nullptr ? config::applyInitialEdit(edit, reason)
                                 : config::applyEdit(*stored, edit, reason);
    };
    auto inEffect = [edit](const config::Document& stored) { return config::isInEffect(stored, edit); };
    std::make_shared<PendingChange>(
        store_, options_, std::move(makeDocument), std::move(inEffect), std::move(callback))
        ->read();
}

void ConfigurationEditor::repairStore(
    const std::shared_ptr<const config::Document>& inForce, Callback callback)
{
    auto makeDocument
        = [inForce](const config::Document* stored, Error& reason) -> std::optional<config::Document> {
        if (stored == nullptr || stored->version < inForce->version)
            return *inForce;
        // Of two documents with the same version the one with the greater text takes precedence, as in
        // ConfigurationRegistry.
        if (stored->version == inForce->version && config::toJson(*stored) < config::toJson(*inForce))
            return *inForce;
        reason = { ErrorKind::Conflict,
            "the store holds version " + std::to_string(stored->version.value) + " already",
            "the store is not behind; no repair is needed" };
        return std::nullopt;
    };
    auto inEffect = [](const config::Document& /*unused*/) { return true; };
    std::make_shared<PendingChange>(
        store_, options_, std::move(makeDocument), std::move(inEffect), std::move(callback))
        ->read();
}

} // namespace banyancroft::configstore
