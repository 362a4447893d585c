#pragma once

#include "base/error.h"
#include "base/time.h"
#include "config/document.h"
#include "config/edit.h"
#include "store/store.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace banyancroft::configstore {

/** Store key of the configuration document. */
constexpr std::string_view documentKey = "/banyancroft/config";

/** What became of an edit. */
struct EditResult {
    /**
     * None: accepted. Conflict: another operator's change came first and this one is not in force.
     * TimedOut or Unavailable with `outcomeUnknown`: it may still come into force.
     * All other errors: nothing was written.
     */
    Error error;
    bool outcomeUnknown = false;
    /** The document that holds the edit, when it was accepted. */
    std::shared_ptr<const config::Document> document;
};

/**
 * Changes the configuration document at the store by compare-and-swap.
 *
 *     configstore::ConfigurationEditor editor(store, options);
 *     editor.edit(takeOut, documentInForce, [](const EditResult& result) { … });
 *
 * When the reply of the swap is lost, the editor reads back and judges by version and content whether the
 * edit is in force. If the key is unchanged, the write may still be under way, so the editor repeats the
 * same swap: its expected revision lets it take effect once at most. "Accepted" is reported only after
 * the store confirmed it. Owned by the control thread; callbacks run on it, exactly once per call. The
 * store has to outlive all open calls, the editor has not.
 */
class ConfigurationEditor {
public:
    struct Options {
        /** Swaps and reads in all after which the outcome is reported as unknown. */
        unsigned maxStoreCalls = 8;
        /** Pause before a call that follows a failed one. */
        Duration retryDelay = std::chrono::milliseconds(500);
        /** Runs a function after a time; empty: at once. */
        std::function<void(Duration, std::function<void()>)> runAfter {};
    };
    using Callback = std::function<void(const EditResult&)>;

    ConfigurationEditor(store::Store& store, Options options);

    /**
     * Carries out an edit.
     * @param inForce the document in force at this daemon, null for none; a store that returns an older
     * one is not edited, since the result would be older than what the fleet has
     */
    void edit(
        const config::Edit& edit, const std::shared_ptr<const config::Document>& inForce, Callback callback);

    /** Writes the document in force to a store that returned an older or diverged one. */
    void repairStore(const std::shared_ptr<const config::Document>& inForce, Callback callback);

private:
    class Attempt;

    store::Store& store_;
    Options options_;
};

} // namespace banyancroft::configstore
