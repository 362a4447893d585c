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

/** Result of an edit or a repair of the store. */
struct EditResult {
    /**
     * No error: the change was accepted. Conflict: another change was stored first and this one is not in
     * force. With `outcomeUnknown`: the change may still come into force. All other errors: nothing was
     * written.
     */
    Error error;
    /** True when the store confirmed neither success nor failure of the write. */
    bool outcomeUnknown = false;
    /** The stored document that includes the change; null unless it was accepted. */
    std::shared_ptr<const config::Document> document;
};

/**
 * Changes the configuration document at the store by compare-and-swap.
 *
 *     configstore::ConfigurationEditor editor(store, options);
 *     editor.edit(takeOut, documentInForce, [](const EditResult& result) { … });
 *
 * When the reply to the swap is lost, the editor reads the document back and decides by version and content
 * whether the edit took effect. If the key is unchanged, the write may still be in flight, so the editor
 * repeats the same swap; its expected revision makes it take effect at most once. An edit is reported as
 * accepted only after the store has confirmed it. Owned by the control thread; callbacks run on it, exactly
 * once per call. The store must outlive all pending calls; the editor need not.
 */
class ConfigurationEditor {
public:
    struct Options {
        /** Total number of swaps and reads per call, after which the outcome is reported as unknown. */
        unsigned maxStoreCalls = 8;
        /** Delay before the retry of a failed store call. */
        Duration retryDelay = std::chrono::milliseconds(500);
        /** Runs a function after a delay. If empty, retries run without delay. */
        std::function<void(Duration, std::function<void()>)> runAfter {};
    };
    using Callback = std::function<void(const EditResult&)>;

    ConfigurationEditor(store::Store& store, Options options);

    /**
     * Applies an edit to the stored document.
     * @param inForce the document in force at this daemon, null for none; a store that returns an older
     * one is not edited, since the daemons would ignore the result as older than theirs
     */
    void edit(
        const config::Edit& edit, const std::shared_ptr<const config::Document>& inForce, Callback callback);

    /** Writes the document in force to a store that returned an older or diverged one, or none. */
    void repairStore(const std::shared_ptr<const config::Document>& inForce, Callback callback);

private:
    class PendingChange;

    store::Store& store_;
    Options options_;
};

} // namespace banyancroft::configstore
