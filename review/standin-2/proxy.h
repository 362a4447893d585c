#pragma once

#include "net.h"

#include <atomic>
#include <memory>

namespace banyancroft::review2 {

/** Passes connections on to an address, and can make all open ones silent for good, without a reset. */
class SilentProxy {
public:
    SilentProxy(const std::string& ip, Address to);

    const Address& address() const { return listener_.address(); }
    /** Nothing passes on the connections that are open now; new ones work. */
    void silence() { ++generation_; }

private:
    void pass(const std::shared_ptr<Connection>& connection);

    Address to_;
    std::atomic<unsigned> generation_ = 0;
    Listener listener_;
};

} // namespace banyancroft::review2
