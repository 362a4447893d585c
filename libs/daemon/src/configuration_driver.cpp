#include "configuration_driver.h"

#include "config/document_json.h"
#include "telemetry/log.h"

namespace banyancroft::daemon {

namespace {

using telemetry::log;
using telemetry::LogLevel;

} // namespace

ConfigurationDriver::ConfigurationDriver(platform::Store&, boost::asio::io_context&,
    std::function<void(std::shared_ptr<const config::Document>)> onDocument)
    : onDocument_(std::move(onDocument))
{
}

void ConfigurationDriver::onStoreValue(const platform::KeyValue& value)
{
    if (value.modified)
        adopt(value.value, "store");
}

void ConfigurationDriver::onPeerDocument(std::string_view text) { adopt(text, "peer"); }

void ConfigurationDriver::edit(const config::Edit&, const std::function<void(CommandResult)>& callback)
{
    callback({ { ErrorKind::Unavailable, "edits are not wired yet", "write the document to the store" },
        false, {} });
}

void ConfigurationDriver::adopt(std::string_view text, std::string_view source)
{
    if (text == text_)
        return;
    Error reason;
    auto document = config::parseDocument(text, reason);
    if (!document) {
        log(LogLevel::Error, "configuration", "document is not usable",
            { { "source", std::string(source) }, { "reason", toString(reason) } });
        return;
    }
    if (document_ && document->version <= document_->version)
        return;
    text_ = std::string(text);
    document_ = std::make_shared<const config::Document>(std::move(*document));
    onDocument_(document_);
}

} // namespace banyancroft::daemon
