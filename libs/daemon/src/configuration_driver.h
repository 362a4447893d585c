#pragma once

#include "command_result.h"
#include "config/document.h"
#include "config/edit.h"
#include "platform/store.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace banyancroft::daemon {

constexpr std::string_view configKey = "/banyancroft/config";

/**
 * The configuration in force at this daemon: adopts higher versions from the store and from peers.
 * Lives on the control thread.
 */
class ConfigurationDriver {
public:
    /** @param onDocument a newer document is in force */
    ConfigurationDriver(platform::Store& store, boost::asio::io_context& ioContext,
        std::function<void(std::shared_ptr<const config::Document>)> onDocument);

    /** Handles the value of configKey that a watch or a read showed. */
    void onStoreValue(const platform::KeyValue& value);
    /** Takes a document that a peer sent. */
    void onPeerDocument(std::string_view text);

    /** Carries out an operator's edit of the document. */
    void edit(const config::Edit& edit, const std::function<void(CommandResult)>& callback);

    /** JSON text of the document in force; empty when none is known. */
    const std::string& text() const { return text_; }

private:
    void adopt(std::string_view text, std::string_view source);

    std::function<void(std::shared_ptr<const config::Document>)> onDocument_;
    std::shared_ptr<const config::Document> document_;
    std::string text_;
};

} // namespace banyancroft::daemon
