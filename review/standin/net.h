#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

struct Address {
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
};

using Fields = std::vector<std::pair<std::string, std::string>>;

/** A request or a response. */
struct Message {
    /** Request line or status line. */
    std::string startLine;
    Fields fields;
    std::string body;

    /** Value of a field, matched without regard to case; empty if it is missing. */
    std::string field(std::string_view name) const;
    unsigned status() const;
    std::string method() const;
    std::string target() const;
};

/** How reading a message ended. */
enum class ReadEnd { Complete, TimedOut, Closed, Reset, Malformed };

/** A connected TCP socket that is closed by its destructor. */
class Connection {
public:
    explicit Connection(int handle)
        : handle_(handle)
    {
    }
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    /** @return nullptr if no connection could be opened within the time */
    static std::unique_ptr<Connection> open(const Address& address, Milliseconds timeout);

    bool write(std::string_view bytes);
    /**
     * Reads one message.
     * @param isResponse a response without a length ends with the connection
     * @param stop ends the wait early when it becomes true
     */
    ReadEnd read(
        Message& message, bool isResponse, Milliseconds timeout, const std::atomic<bool>* stop = nullptr);
    /** True if the peer has closed or reset the connection. */
    bool isClosedByPeer() const;
    void shutDownSending();
    /** Takes what has arrived; false if the peer has closed or reset the connection. */
    bool readAvailable(std::string& bytes);
    /** The destructor resets the connection. */
    void resetOnClose();
    /** Waits until one of two connections can be read. */
    static bool waitForEither(const Connection& first, const Connection& second, Milliseconds timeout);

private:
    ReadEnd fill(Clock::time_point until, const std::atomic<bool>* stop);

    int handle_;
    std::string buffer_;
};

/** Accepts connections and serves each on a thread of its own until the destructor. */
class Server {
public:
    using Handler = std::function<void(Connection&, const std::atomic<bool>& stop)>;

    /** Listens on a free port of the IP address. */
    Server(const std::string& ip, Handler handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    const Address& address() const { return address_; }
    /** Closes the listening socket and all connections soon; callable from any thread. */
    void end() { stop_ = true; }

private:
    void accept();

    Handler handler_;
    Address address_;
    int handle_ = -1;
    std::atomic<bool> stop_ = false;
    std::mutex mutex_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

/** A port that is free on the IP address now. */
std::uint16_t freePort(const std::string& ip);
/** True if the port is free on the IP address now. */
bool isFree(const Address& address);

std::string serialise(const std::string& startLine, const Fields& fields, std::string_view body);

} // namespace review
