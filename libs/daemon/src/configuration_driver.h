#pragma once

#include "command_result.h"
#include "config/document.h"
#include "config/edit.h"
#include "config/registry.h"
#include "configstore/editor.h"
#include "store/store.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace banyancroft::daemon {

/**
 * The configuration in force at this daemon: adopts higher versions from the store and from peers, carries
 * out operators' edits, and brings a store forward that returned older.
 *
 * Lives on the control thread.
 */
class ConfigurationDriver {
public:
    /** @param onDocument a newer document is in force */
    ConfigurationDriver(store::Store& store, boost::asio::io_context& ioContext,
        std::function<void(std::shared_ptr<const config::Document>)> onDocument);
    ~ConfigurationDriver();

    /** Handles the value of the configuration's key that a watch or a read showed. */
    void onStoreValue(const store::KeyValue& value);
    /** The store answered that it has no configuration. */
    void onStoreEmpty();
    /** Takes a document that a peer sent. */
    void onPeerDocument(std::string_view text);
    /** Carries out an operator's edit of the document. */
    void edit(const config::Edit& edit, const std::function<void(CommandResult)>& callback);

    const config::ConfigurationRegistry& registry() const { return registry_; }

private:
    void offer(std::string_view text, config::Source source);
    void scheduleStoreUpdate();

    configstore::ConfigurationEditor editor_;
    config::ConfigurationRegistry registry_;
    std::function<void(std::shared_ptr<const config::Document>)> onDocument_;
    boost::asio::steady_timer storeUpdateTimer_;
    bool storeUpdatePending_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace banyancroft::daemon
