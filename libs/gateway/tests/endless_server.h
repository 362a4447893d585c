#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace banyancroft::gateway {

/** Server that answers each request with a beginning and then repeats a block until the peer closes the
 * connection. */
class EndlessServer {
public:
    /** @param pause time between two blocks; zero for as fast as the connection carries */
    EndlessServer(boost::asio::io_context& ioContext, std::string beginning, std::string block,
        std::chrono::milliseconds pause)
        : acceptor_(ioContext, { boost::asio::ip::make_address("127.0.0.1"), 0 })
        , beginning_(std::move(beginning))
        , block_(std::move(block))
        , pause_(pause)
    {
        accept();
    }

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    /** Connections that the peer closed while bytes were sent. */
    int closedByPeer() const { return closedByPeer_; }
    /** Bytes that were written on all connections. */
    std::size_t bytesWritten() const { return bytesWritten_; }
    int requests() const { return requests_; }

private:
    struct Connection {
        explicit Connection(boost::asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
            , timer(socket.get_executor())
        {
        }

        boost::asio::ip::tcp::socket socket;
        boost::asio::steady_timer timer;
        boost::asio::streambuf request;
    };

    void accept()
    {
        acceptor_.async_accept([this](const auto& failure, boost::asio::ip::tcp::socket socket) {
            if (failure)
                return;
            const auto connection = std::make_shared<Connection>(std::move(socket));
            boost::asio::async_read_until(connection->socket, connection->request, "\r\n\r\n",
                [this, connection](const auto& readFailure, std::size_t) {
                    if (readFailure)
                        return;
                    ++requests_;
                    write(connection, beginning_);
                });
            accept();
        });
    }

    void write(const std::shared_ptr<Connection>& connection, const std::string& bytes)
    {
        boost::asio::async_write(connection->socket, boost::asio::buffer(bytes),
            [this, connection](const auto& failure, std::size_t count) {
                bytesWritten_ += count;
                if (failure) {
                    ++closedByPeer_;
                    return;
                }
                connection->timer.expires_after(pause_);
                connection->timer.async_wait([this, connection](const auto&) { write(connection, block_); });
            });
    }

    boost::asio::ip::tcp::acceptor acceptor_;
    const std::string beginning_;
    const std::string block_;
    const std::chrono::milliseconds pause_;
    int closedByPeer_ = 0;
    int requests_ = 0;
    std::size_t bytesWritten_ = 0;
};

} // namespace banyancroft::gateway
