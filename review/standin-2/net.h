#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace banyancroft::review2 {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/** Seconds since the start of the program, for the record and the checks. */
double seconds();

/** IP address and port. */
struct Address {
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
};

/** A loopback address for one process, unlikely to be in use by another run. */
std::string loopbackIp(unsigned number);
std::uint16_t freePort(const std::string& ip);

/** Start line, header fields with names in lower case, and body of a message. */
struct Message {
    std::string startLine;
    std::multimap<std::string, std::string> fields;
    std::string body;

    std::string field(const std::string& name) const;
    /** Status of a response; zero for anything else. */
    unsigned status() const;
    /** Path of a request, without the query. */
    std::string path() const;
    /** Parameters of the query of a request. */
    std::map<std::string, std::string> query() const;
};

using Fields = std::vector<std::pair<std::string, std::string>>;

/** A message with a Content-Length, unless it is a request without a body. */
std::string serialise(std::string_view startLine, const Fields& fields, std::string_view body);
std::string response(unsigned status, const Fields& fields, std::string_view body);

/** A TCP connection with blocking calls; closed by the destructor. */
class Connection {
public:
    explicit Connection(int handle)
        : handle_(handle)
    {
    }
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    /** @param receiveBuffer size of the socket's receive buffer; zero: the default */
    static std::shared_ptr<Connection> open(const Address& to, Milliseconds timeout, int receiveBuffer = 0);

    bool write(std::string_view bytes) const;
    /** Reads one message with a Content-Length. @return empty at the end of the connection or the timeout */
    std::optional<Message> read(Milliseconds timeout);
    /** Reads at most `size` bytes. @return zero at the end of the connection, -1 at the timeout */
    long readSome(char* bytes, std::size_t size, Milliseconds timeout) const;
    /** Ends the connection in both directions, from any thread. */
    void shutdown() const;
    /** Ends the connection with a reset. */
    void reset();

private:
    int handle_;
    std::string buffer_;
};

/** Listens on an address and runs a function for each connection, in a thread of its own. */
class Listener {
public:
    using Serve = std::function<void(const std::shared_ptr<Connection>&)>;

    /** @param ip address; a free port is chosen */
    Listener(const std::string& ip, Serve serve);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    const Address& address() const { return address_; }
    /** Stops listening. Open connections are not affected. */
    void close();

private:
    int handle_ = -1;
    Address address_;
};

} // namespace banyancroft::review2
