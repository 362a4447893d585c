#pragma once

#include "store/store.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace banyancroft::store {

/**
 * Store over the etcd v3 HTTP/JSON gateway (section 3.1 of docs/query-path.md).
 *
 *     store::EtcdStore store(ioContext, { .address = "127.0.0.1", .port = 2379 });
 *     store.get("/banyancroft/config", [](auto listing, const Error& reason) { … });
 *
 * Owned and used by the thread that runs the io_context. Callbacks never run before the call that
 * they belong to has returned. Calls are not retried; errors are
 *  - TimedOut, no answer within the deadline; a write may have taken effect,
 *  - Unavailable, the connection was refused or broken, or the service answered with a 5xx status; a write
 *    may have taken effect,
 *  - NotFound, the lease has lapsed,
 *  - InvalidInput, the service rejected the call (4xx),
 *  - MalformedMessage, the answer does not follow the protocol.
 * Destruction ends open calls with Unavailable, and watches through their onEnd.
 */
class EtcdStore : public Store {
public:
    struct Options {
        /** IP address of the service. */
        std::string address {};
        std::uint16_t port = 0;
        /** Source address of connections; empty for the system's choice. */
        std::string localAddress {};
        /** Sent as header X-Client-Name; empty for none. */
        std::string clientName {};
        /** Time limit from a call to the last byte of its answer. */
        Duration deadline = std::chrono::seconds(1);
    };

    EtcdStore(boost::asio::io_context& ioContext, const Options& options);
    ~EtcdStore() override;

    void get(std::string_view key, Callback<Listing> callback) override;
    void list(std::string_view prefix, Callback<Listing> callback) override;
    void compareAndSwap(Swap swap, Callback<SwapResult> callback) override;
    void grantLease(Duration timeToLive, Callback<LeaseGrant> callback) override;
    void renewLease(LeaseId lease, Callback<LeaseGrant> callback) override;
    void revokeLease(LeaseId lease, Callback<bool> callback) override;
    /** A second watch for a prefix replaces the first, whose onEnd is not called. */
    void watch(std::string_view prefix, Revision after,
        std::function<void(std::span<const KeyValue>)> onChange,
        std::function<void(const Error&)> onEnd) override;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace banyancroft::store
