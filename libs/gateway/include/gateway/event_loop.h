#pragma once

#include <functional>
#include <string_view>

namespace banyancroft::gateway {

/**
 * Runs an event loop whose handlers may throw. An exception ends only the handler that threw it: it is
 * reported, and the loop goes on with the next one.
 *
 *     runGuarded([&] { ioContext.run(); }, [](std::string_view what) { logError(what); });
 *
 * @param run runs the loop; called again after an exception, until it returns normally
 * @param onError called with the message of each exception
 */
void runGuarded(const std::function<void()>& run, const std::function<void(std::string_view what)>& onError);

} // namespace banyancroft::gateway
