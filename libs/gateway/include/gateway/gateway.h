#pragma once

#include "base/error.h"
#include "gateway/dialect.h"
#include "gateway/settings.h"
#include "gateway/store_item.h"
#include "store/polled_store.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace banyancroft::gateway {

/**
 * The query tier of one VM: takes requests of callers, sends them to replicas, merges their parts, and
 * follows configuration and registrations at the store.
 *
 *     Gateway gateway(ioContext, settings, dialect, layout, store);
 *     if (!gateway.start(reason))
 *         return fail(reason);
 *     ioContext.run();
 *
 * Everything runs on the thread of the io_context. SIGTERM and SIGINT end the process after the requests
 * that it has read; SIGHUP calls the reload hook.
 */
class Gateway {
public:
    /** @param store outlives the gateway */
    Gateway(boost::asio::io_context& ioContext, Settings settings, Dialect dialect, StoreLayout layout,
        store::PolledStore& store);
    ~Gateway();

    /** Binds the listeners and begins to follow the store; false with a reason when an address is taken. */
    bool start(Error& reason);
    /**
     * Reads the settings again; called on SIGHUP and every few seconds, since they may change without a
     * signal. Empty when they are the same as before, or with a reason when they cannot be used. Limits
     * and delays come into force at once, addresses at the next start.
     */
    void onReload(std::function<std::optional<Settings>(Error&)> reload);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace banyancroft::gateway
