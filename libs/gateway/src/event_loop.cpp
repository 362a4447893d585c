#include "gateway/event_loop.h"

#include <exception>

namespace banyancroft::gateway {

void runGuarded(const std::function<void()>& run, const std::function<void(std::string_view what)>& onError)
{
    while (true) {
        try {
            return run();
        } catch (const std::exception& error) {
            onError(error.what());
        } catch (...) {
            onError("exception of an unknown type");
        }
    }
}

} // namespace banyancroft::gateway
