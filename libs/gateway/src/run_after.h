#pragma once

#include "base/time.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <utility>

namespace banyancroft::gateway {

/** Calls `next` after `pause`; cancels a pending wait on the same timer. */
inline void runAfter(boost::asio::steady_timer& timer, Duration pause, std::function<void()> next)
{
    timer.expires_after(pause);
    timer.async_wait([next = std::move(next)](const boost::system::error_code& failure) {
        if (!failure)
            next();
    });
}

} // namespace banyancroft::gateway
