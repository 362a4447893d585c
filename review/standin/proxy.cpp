#include "proxy.h"

namespace review {

Proxy::Proxy(const std::string& ip, Address target)
    : target_(std::move(target))
    , server_(std::make_unique<Server>(
          ip, [this](Connection& connection, const std::atomic<bool>& stop) { serve(connection, stop); }))
{
}

Proxy::~Proxy() { server_.reset(); }

void Proxy::serve(Connection& connection, const std::atomic<bool>& stop)
{
    const auto target = cut_ ? nullptr : Connection::open(target_, Milliseconds(1000));
    std::string bytes;
    while (target && !cut_ && !stop) {
        if (!Connection::waitForEither(connection, *target, Milliseconds(20)))
            continue;
        if (!connection.readAvailable(bytes) || (!bytes.empty() && !target->write(bytes)))
            break;
        watchCalls_ += bytes.starts_with("GET /-/kv-watch") ? 1 : 0;
        if (!target->readAvailable(bytes) || (!bytes.empty() && !connection.write(bytes)))
            break;
    }
    connection.resetOnClose();
}

} // namespace review
