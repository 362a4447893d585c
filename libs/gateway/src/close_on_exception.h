#pragma once

namespace banyancroft::gateway {

/** Calls `handle`, and closes the connection if it throws: without its handler the connection would never be
 * read again. */
template <typename Connection, typename Handle> void closeOnException(Connection& connection, Handle handle)
{
    try {
        handle();
    } catch (...) {
        connection.close();
        throw;
    }
}

} // namespace banyancroft::gateway
