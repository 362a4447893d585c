#include "configuration_driver.h"

#include "config/document_json.h"
#include "run_after.h"
#include "telemetry/log.h"

#include <nlohmann/json.hpp>

namespace banyancroft::daemon {

namespace {

using telemetry::log;
using telemetry::LogLevel;

// Lets the newest document arrive from peers, so that this daemon does not write an older one to the store.
constexpr std::chrono::milliseconds storeRepairDelay { 1000 };

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
    , storeRepairTimer_(ioContext)
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
    log(LogLevel::Error, "configuration", "store has no configuration; writing back the one in force",
        { { "version", std::to_string(registry_.version().value) } });
    scheduleStoreRepair();
}

void ConfigurationDriver::onPeerDocument(std::string_view text) { offer(text, config::DocumentSource::Peer); }

void ConfigurationDriver::offer(std::string_view text, config::DocumentSource source)
{
    // Periodic reads usually return the document in force, which need not be parsed again.
    if (text == registry_.text() && !registry_.storeBehind())
        return;
    Error reason;
    auto document = config::parseDocument(text, reason);
    if (!document) {
        log(LogLevel::Error, "configuration", "ignored an invalid configuration document",
            { { "source", source == config::DocumentSource::Store ? "store" : "peer" },
                { "reason", toString(reason) } });
        return;
    }
    const auto offered = document->version;
    switch (registry_.offer(std::move(*document), source, BootClock::now())) {
    case config::OfferResult::DivergedReplaced:
        log(LogLevel::Error, "configuration",
            "configuration documents of the same version differ; replaced the one in force",
            { { "version", std::to_string(offered.value) } });
        onDocument_(registry_.document());
        break;
    case config::OfferResult::Adopted:
        onDocument_(registry_.document());
        break;
    case config::OfferResult::DivergedKept:
        log(LogLevel::Error, "configuration",
            "configuration documents of the same version differ; kept the one in force",
            { { "version", std::to_string(offered.value) } });
        break;
    case config::OfferResult::Same:
    case config::OfferResult::Older:
        break;
    }
    if (registry_.storeBehind())
        scheduleStoreRepair();
}

void ConfigurationDriver::scheduleStoreRepair()
{
    if (std::exchange(storeRepairPending_, true))
        return;
    log(LogLevel::Error, "configuration",
        "configuration in the store is older than the one in force; writing it back",
        { { "version", std::to_string(registry_.version().value) } });
    storeRepairTimer_.expires_after(storeRepairDelay);
    storeRepairTimer_.async_wait([this, alive = alive_](const boost::system::error_code& code) {
        if (code || !*alive)
            return;
        editor_.repairStore(registry_.document(), [this, alive](const configstore::EditResult& result) {
            if (!*alive)
                return;
            storeRepairPending_ = false;
            const bool failed = static_cast<bool>(result.error);
            log(failed ? LogLevel::Warn : LogLevel::Info, "configuration",
                failed ? "could not write the configuration back to the store"
                       : "wrote the configuration back to the store",
                { { "version", std::to_string(registry_.version().value) },
                    { "reason", toString(result.error) } });
            // The next read of the store shows whether it is still behind and schedules another repair.
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
