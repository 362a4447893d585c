#pragma once

#include "base/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace banyancroft::daemon {

/** Runs a function on the thread of the io_context after a delay, unless the io_context stops first. */
inline void runAfter(boost::asio::io_context& ioContext, Duration delay, std::function<void()> function)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(ioContext, delay);
    timer->async_wait([timer, function = std::move(function)](const boost::system::error_code& code) {
        if (!code)
            function();
    });
}

} // namespace banyancroft::daemon
