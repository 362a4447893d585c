#pragma once

#include "net.h"

#include <atomic>
#include <memory>
#include <string>

namespace review {

/** A TCP proxy that can cut the path: while cut, it resets all connections and refuses new ones. */
class Proxy {
public:
    Proxy(const std::string& ip, Address target);
    ~Proxy();

    const Address& address() const { return server_->address(); }
    void setCut(bool cut) { cut_ = cut; }
    /** Calls of the store's watch that passed so far. */
    std::size_t watchCalls() const { return watchCalls_; }

private:
    void serve(Connection& connection, const std::atomic<bool>& stop);

    const Address target_;
    std::atomic<bool> cut_ = false;
    std::atomic<std::size_t> watchCalls_ = 0;
    std::unique_ptr<Server> server_;
};

} // namespace review
