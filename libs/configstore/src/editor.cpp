#include "configstore/editor.h"

#include "config/apply.h"
#include "config/document_json.h"

#include <optional>
#include <utility>

namespace banyancroft::configstore {

// One edit on its way: read, apply, swap, and after a lost reply read back. The attempt lives as long as
// a call to the store or a pause holds it.
class ConfigurationEditor::Attempt : public std::enable_shared_from_this<Attempt> {
public:
    /** Gives the wanted document from what the store holds, or fills the reason. */
    using Wanted = std::function<std::optional<config::Document>(const config::Document* stored, Error&)>;
    /** Tells whether a later document holds what was wanted. */
    using InEffect = std::function<bool(const config::Document&)>;

    Attempt(store::Store& store, Options options, Wanted wanted, InEffect inEffect, Callback callback)
        : store_(store)
        , options_(std::move(options))
        , wanted_(std::move(wanted))
        , inEffect_(std::move(inEffect))
        , callback_(std::move(callback))
    {
    }

    void read()
    {
        ++calls_;
        store_.get(documentKey,
            [self = shared_from_this()](std::optional<store::Listing> listing, const Error& error) {
                if (!listing)
                    return self->readFailed(error);
                const auto& entries = listing->entries;
                self->onStored(entries.empty() ? nullptr : &entries.front());
            });
    }

private:
    void onStored(const store::KeyValue* stored)
    {
        std::optional<config::Document> document;
        if (stored != nullptr) {
            Error reason;
            document = config::parseDocument(stored->value, reason);
            if (!document) {
                reason.message = "the document at the store is not usable: " + reason.message;
                // With a swap of unknown outcome, an unreadable document says nothing about it.
                return finish({ reason, wantedDocument_ != nullptr, nullptr });
            }
        }
        const store::Revision revision = stored == nullptr ? store::Revision {} : stored->modified;
        if (wantedDocument_)
            return judge(document ? &*document : nullptr, revision);
        Error reason;
        auto wanted = wanted_(document ? &*document : nullptr, reason);
        if (!wanted)
            return finish({ reason, false, nullptr });
        wantedDocument_ = std::make_shared<const config::Document>(std::move(*wanted));
        expected_ = revision;
        swap();
    }

    void swap()
    {
        ++calls_;
        store_.compareAndSwap({ std::string(documentKey), expected_, config::toJson(*wantedDocument_), {} },
            [self = shared_from_this()](std::optional<store::SwapResult> result, const Error& error) {
                if (!result)
                    return self->swapFailed(error);
                if (result->swapped)
                    return self->finish({ {}, false, self->wantedDocument_ });
                // After an own lost reply the document found may be the own one.
                self->onStored(result->current ? &*result->current : nullptr);
            });
    }

    void readFailed(const Error& error)
    {
        if (!wantedDocument_) {
            return finish({ { error.kind, "the store cannot be read: " + error.message,
                                "nothing was changed; try again when the store answers" },
                false, nullptr });
        }
        retry(error);
    }

    void swapFailed(const Error& error) { retry(error); }

    void retry(const Error& error)
    {
        if (calls_ >= options_.maxStoreCalls) {
            return finish({ { error.kind, "the store did not confirm the change: " + error.message,
                                "it may still come into force; compare `show config` with the change" },
                true, nullptr });
        }
        if (!options_.runAfter)
            return read();
        options_.runAfter(options_.retryDelay, [self = shared_from_this()] { self->read(); });
    }

    // Decides by version and content whether the swap took effect.
    void judge(const config::Document* stored, store::Revision revision)
    {
        if (stored != nullptr && (*stored == *wantedDocument_ || inEffectLater(*stored))) {
            return finish({ {}, false, std::make_shared<const config::Document>(*stored) });
        }
        if (revision == expected_) {
            // The write has not taken effect, but it may still be under way.
            const Error error { ErrorKind::TimedOut, "the key is unchanged after the swap", {} };
            return calls_ >= options_.maxStoreCalls ? retry(error) : swap();
        }
        const std::string version = stored == nullptr ? "no" : std::to_string(stored->version.value);
        finish({ { ErrorKind::Conflict,
                     "another change came first; the store holds version " + version
                         + ", which does not have this change",
                     "look at the configuration in force and decide anew" },
            false, nullptr });
    }

    bool inEffectLater(const config::Document& stored) const
    {
        return stored.version > wantedDocument_->version && inEffect_(stored);
    }

    void finish(const EditResult& result)
    {
        if (auto callback = std::exchange(callback_, nullptr))
            callback(result);
    }

    store::Store& store_;
    Options options_;
    Wanted wanted_;
    InEffect inEffect_;
    Callback callback_;
    std::shared_ptr<const config::Document> wantedDocument_;
    store::Revision expected_;
    unsigned calls_ = 0;
};

ConfigurationEditor::ConfigurationEditor(store::Store& store, Options options)
    : store_(store)
    , options_(std::move(options))
{
}

void ConfigurationEditor::edit(
    const config::Edit& edit, const std::shared_ptr<const config::Document>& inForce, Callback callback)
{
    auto wanted
        = [edit, inForce](const config::Document* stored, Error& reason) -> std::optional<config::Document> {
        const ConfigVersion storedVersion = stored == nullptr ? ConfigVersion {} : stored->version;
        if (inForce && storedVersion < inForce->version) {
            reason = { ErrorKind::Unavailable,
                "the store holds version " + std::to_string(storedVersion.value) + ", in force is "
                    + std::to_string(inForce->version.value),
                "nothing was changed; try again when the store was brought forward" };
            return std::nullopt;
        }
        return stored == nullptr ? config::applyInitialEdit(edit, reason)
                                 : config::applyEdit(*stored, edit, reason);
    };
    auto inEffect = [edit](const config::Document& stored) { return config::isInEffect(stored, edit); };
    std::make_shared<Attempt>(store_, options_, std::move(wanted), std::move(inEffect), std::move(callback))
        ->read();
}

void ConfigurationEditor::repairStore(
    const std::shared_ptr<const config::Document>& inForce, Callback callback)
{
    auto wanted
        = [inForce](const config::Document* stored, Error& reason) -> std::optional<config::Document> {
        if (stored == nullptr || stored->version < inForce->version)
            return *inForce;
        // Of two documents with one version the one with the greater text stays, as in the registry.
        if (stored->version == inForce->version && config::toJson(*stored) < config::toJson(*inForce))
            return *inForce;
        reason = { ErrorKind::Conflict,
            "the store holds version " + std::to_string(stored->version.value) + " already",
            "nothing has to be brought forward" };
        return std::nullopt;
    };
    auto inEffect = [](const config::Document& /*unused*/) { return true; };
    std::make_shared<Attempt>(store_, options_, std::move(wanted), std::move(inEffect), std::move(callback))
        ->read();
}

} // namespace banyancroft::configstore
