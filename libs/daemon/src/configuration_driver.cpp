#include "configuration_driver.h"

#include "config/document_json.h"
#include "run_after.h"
#include "telemetry/log.h"

#include <nlohmann/json.hpp>

namespace banyancroft::daemon {

namespace {

using telemetry::log;
using telemetry::LogLevel;

// Long enough for the newest document of the fleet to arrive from peers before an older one is written back.
constexpr std::chrono::milliseconds forwardDelay { 1000 };

configstore::ConfigurationEditor::Options editorOptions(boost::asio::io_context& ioContext)
{
    configstore::ConfigurationEditor::Options options;
    options.runAfter = [&ioContext](Duration delay, std::function<void()> function) {
        runAfter(ioContext, delay, std::move(function));
    };
    return options;
}

} // namespace

ConfigurationDriver::ConfigurationDriver(store::Store& store, boost::asio::io_context& ioContext,
    std::function<void(std::shared_ptr<const config::Document>)> onDocument)
    : editor_(store, editorOptions(ioContext))
    , onDocument_(std::move(onDocument))
    , forwardTimer_(ioContext)
{
}

ConfigurationDriver::~ConfigurationDriver() { *alive_ = false; }

void ConfigurationDriver::onStoreValue(const store::KeyValue& value)
{
    if (!value.modified)
        return onStoreEmpty();
    offer(value.value, config::DocumentSource::Store);
}

void ConfigurationDriver::onStoreEmpty()
{
    if (!registry_.document())
        return;
    log(LogLevel::Error, "configuration", "the store lost the configuration; writing it back",
        { { "version", std::to_string(registry_.version().value) } });
    bringForwardLater();
}

void ConfigurationDriver::onPeerDocument(std::string_view text) { offer(text, config::DocumentSource::Peer); }

void ConfigurationDriver::offer(std::string_view text, config::DocumentSource source)
{
    // The usual case on a slow read: nothing changed, so nothing needs to be parsed.
    if (text == registry_.text() && !registry_.storeBehind())
        return;
    Error reason;
    auto document = config::parseDocument(text, reason);
    if (!document) {
        log(LogLevel::Error, "configuration", "document is not usable",
            { { "source", source == config::DocumentSource::Store ? "store" : "peer" },
                { "reason", toString(reason) } });
        return;
    }
    const auto offered = document->version;
    switch (registry_.offer(std::move(*document), source, BootClock::now())) {
    case config::OfferResult::DivergedReplaced:
        log(LogLevel::Error, "configuration",
            "two documents have the same version; the other one is in force now",
            { { "version", std::to_string(offered.value) } });
        onDocument_(registry_.document());
        break;
    case config::OfferResult::Adopted:
        onDocument_(registry_.document());
        break;
    case config::OfferResult::DivergedKept:
        log(LogLevel::Error, "configuration", "two documents have the same version; the one in force stays",
            { { "version", std::to_string(offered.value) } });
        break;
    case config::OfferResult::Same:
    case config::OfferResult::Older:
        break;
    }
    if (registry_.storeBehind())
        bringForwardLater();
}

void ConfigurationDriver::bringForwardLater()
{
    if (std::exchange(forwarding_, true))
        return;
    log(LogLevel::Error, "configuration", "the store is older than the fleet; it will be brought forward",
        { { "version", std::to_string(registry_.version().value) } });
    forwardTimer_.expires_after(forwardDelay);
    forwardTimer_.async_wait([this, alive = alive_](const boost::system::error_code& code) {
        if (code || !*alive)
            return;
        editor_.repairStore(registry_.document(), [this, alive](const configstore::EditResult& result) {
            if (!*alive)
                return;
            forwarding_ = false;
            const bool failed = static_cast<bool>(result.error);
            log(failed ? LogLevel::Warn : LogLevel::Info, "configuration",
                failed ? "the store could not be brought forward" : "the store was brought forward",
                { { "version", std::to_string(registry_.version().value) },
                    { "reason", toString(result.error) } });
            // The next read of the store shows whether it is still behind and starts this again.
        });
    });
}

void ConfigurationDriver::edit(const config::Edit& edit, const std::function<void(CommandResult)>& callback)
{
    editor_.edit(
        edit, registry_.document(), [this, alive = alive_, callback](const configstore::EditResult& result) {
            if (result.error)
                return callback({ result.error, result.outcomeUnknown, {} });
            if (*alive && result.document)
                offer(config::toJson(*result.document), config::DocumentSource::Store);
            const nlohmann::ordered_json json { { "accepted", true },
                { "config_version", result.document ? result.document->version.value : 0 } };
            callback({ {}, false, json.dump() });
        });
}

} // namespace banyancroft::daemon
