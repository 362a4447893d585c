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
 * The query tier of one VM: accepts requests from callers, routes them to replicas, merges partial
 * results, and follows configuration and registrations in the store.
 *
 *     Gateway gateway(ioContext, settings, dialect, layout, store);
 *     if (!gateway.start(reason))
 *         return fail(reason);
 *     ioContext.run();
 *
 * Everything runs on the thread of the io_context. SIGTERM and SIGINT start a graceful shutdown, which
 * answers the requests that were already read; SIGHUP calls the reload hook.
 */
class Gateway {
public:
    /** @param store must outlive the gateway */
    Gateway(boost::asio::io_context& ioContext, Settings settings, Dialect dialect, StoreLayout layout,
        store::PolledStore& store);
    ~Gateway();

    /** Binds the listeners and starts following the store; false with a reason when an address cannot be
     * bound. */
    bool start(Error& reason);
    /**
     * Sets the hook that reloads the settings. It is called on SIGHUP and every few seconds, since the
     * settings may change without a signal. It returns nothing when the settings are unchanged, and nothing
     * with a reason when they are invalid. Limits and delays take effect immediately, addresses at the next
     * start.
     */
    void onReload(std::function<std::optional<Settings>(Error&)> reload);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace banyancroft::gateway
