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
 * Maintains the configuration in force at this daemon: adopts newer versions from the store and from peers,
 * carries out operators' edits, and writes the configuration back when the store returns an older one or
 * none.
 *
 * Lives on the control thread.
 */
class ConfigurationDriver {
public:
    /** @param onDocument called when another document has come into force */
    ConfigurationDriver(store::Store& store, boost::asio::io_context& ioContext,
        std::function<void(std::shared_ptr<const config::Document>)> onDocument);
    ~ConfigurationDriver();

    /** Handles the value of the configuration's key that a watch or a read returned. */
    void onStoreValue(const store::KeyValue& value);
    /** Handles a reply of the store that it has no configuration. */
    void onStoreEmpty();
    /** Handles a document received from a peer. */
    void onPeerDocument(std::string_view text);
    /** Carries out an operator's edit of the document. */
    void edit(const config::Edit& edit, const std::function<void(CommandResult)>& callback);

    const config::ConfigurationRegistry& registry() const { return registry_; }

private:
    void offer(std::string_view text, config::DocumentSource source);
    void scheduleStoreRepair();

    configstore::ConfigurationEditor editor_;
    config::ConfigurationRegistry registry_;
    std::function<void(std::shared_ptr<const config::Document>)> onDocument_;
    boost::asio::steady_timer storeRepairTimer_;
    bool storeRepairPending_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace banyancroft::daemon
