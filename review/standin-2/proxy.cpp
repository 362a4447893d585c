#include "proxy.h"

#include <thread>

namespace banyancroft::review2 {

namespace {

constexpr auto connectTimeout = std::chrono::seconds(2);
constexpr auto step = Milliseconds(100);

} // namespace

SilentProxy::SilentProxy(const std::string& ip, Address to)
    : to_(std::move(to))
    , listener_(ip, [this](const std::shared_ptr<Connection>& connection) { pass(connection); })
{
}

void SilentProxy::pass(const std::shared_ptr<Connection>& connection)
{
    const auto generation = generation_.load();
    const auto other = Connection::open(to_, connectTimeout);
    if (!other)
        return;
    const auto pump = [this, generation](const Connection& from, const Connection& to) {
        char bytes[16 * 1024];
        while (true) {
            const auto count = from.readSome(bytes, sizeof bytes, step);
            if (count < 0)
                continue;
            if (generation_ != generation) {
                // Bytes and closes of a silent connection never arrive; it stays open.
                if (count == 0)
                    return;
                continue;
            }
            if (count == 0 || !to.write({ bytes, static_cast<std::size_t>(count) })) {
                from.shutdown();
                to.shutdown();
                return;
            }
        }
    };
    std::thread back([&] { pump(*other, *connection); });
    pump(*connection, *other);
    // After the close of one side, the other side of a silent connection is left alone.
    if (generation_ != generation)
        other->shutdown();
    back.join();
}

} // namespace banyancroft::review2
