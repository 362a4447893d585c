#include "net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <stdexcept>

namespace review {

namespace {

constexpr Milliseconds pollStep(20);

sockaddr_in socketAddress(const Address& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr) != 1)
        throw std::invalid_argument("not an IPv4 address: " + address.ip);
    return result;
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
        [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

std::string word(const std::string& line, std::size_t index)
{
    std::size_t begin = 0;
    for (; index > 0; --index) {
        begin = line.find(' ', begin);
        if (begin == std::string::npos)
            return {};
        ++begin;
    }
    return line.substr(begin, line.find(' ', begin) - begin);
}

/** Parses the head, which ends before `end`. */
bool parseHead(std::string_view head, Message& message)
{
    message.startLine.clear();
    message.fields.clear();
    while (!head.empty()) {
        const auto end = std::min(head.find("\r\n"), head.size());
        const auto line = head.substr(0, end);
        head.remove_prefix(std::min(end + 2, head.size()));
        if (message.startLine.empty()) {
            message.startLine = line;
            continue;
        }
        const auto colon = line.find(':');
        if (colon == std::string_view::npos)
            return false;
        const auto value = line.substr(std::min(line.find_first_not_of(' ', colon + 1), line.size()));
        message.fields.emplace_back(line.substr(0, colon), value);
    }
    return !message.startLine.empty();
}

} // namespace

std::string Message::field(std::string_view name) const
{
    for (const auto& [key, value] : fields) {
        if (equalsIgnoringCase(key, name))
            return value;
    }
    return {};
}

unsigned Message::status() const
{
    const auto text = word(startLine, 1);
    return text.size() == 3 ? static_cast<unsigned>(std::stoul(text)) : 0;
}

std::string Message::method() const { return word(startLine, 0); }

std::string Message::target() const { return word(startLine, 1); }

Connection::~Connection() { ::close(handle_); }

std::unique_ptr<Connection> Connection::open(const Address& address, Milliseconds timeout)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (handle < 0)
        return nullptr;
    auto connection = std::make_unique<Connection>(handle);
    const auto peer = socketAddress(address);
    if (::connect(handle, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) < 0) {
        pollfd entry { handle, POLLOUT, 0 };
        int failure = 0;
        socklen_t size = sizeof failure;
        if (errno != EINPROGRESS || ::poll(&entry, 1, static_cast<int>(timeout.count())) != 1
            || ::getsockopt(handle, SOL_SOCKET, SO_ERROR, &failure, &size) < 0 || failure != 0)
            return nullptr;
    }
    const int on = 1;
    ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return connection;
}

bool Connection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto count = ::send(handle_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(count));
            continue;
        }
        pollfd entry { handle_, POLLOUT, 0 };
        if (errno != EAGAIN || ::poll(&entry, 1, 5000) != 1)
            return false;
    }
    return true;
}

ReadEnd Connection::fill(Clock::time_point until, const std::atomic<bool>* stop)
{
    while (Clock::now() < until && !(stop && *stop)) {
        pollfd entry { handle_, POLLIN, 0 };
        if (::poll(&entry, 1, static_cast<int>(pollStep.count())) != 1)
            continue;
        std::array<char, 16384> chunk {};
        const auto count = ::recv(handle_, chunk.data(), chunk.size(), 0);
        if (count == 0)
            return ReadEnd::Closed;
        if (count < 0 && errno == EAGAIN)
            continue;
        if (count < 0)
            return ReadEnd::Reset;
        buffer_.append(chunk.data(), static_cast<std::size_t>(count));
        return ReadEnd::Complete;
    }
    return ReadEnd::TimedOut;
}

ReadEnd Connection::read(
    Message& message, bool isResponse, Milliseconds timeout, const std::atomic<bool>* stop)
{
    const auto until = Clock::now() + timeout;
    auto headEnd = buffer_.find("\r\n\r\n");
    while (headEnd == std::string::npos) {
        if (const auto end = fill(until, stop); end != ReadEnd::Complete)
            return end == ReadEnd::Closed && !buffer_.empty() ? ReadEnd::Malformed : end;
        headEnd = buffer_.find("\r\n\r\n");
    }
    if (!parseHead(std::string_view(buffer_).substr(0, headEnd), message))
        return ReadEnd::Malformed;
    buffer_.erase(0, headEnd + 4);
    const auto length = message.field("Content-Length");
    if (length.empty() && isResponse) {
        auto end = ReadEnd::Complete;
        while (end == ReadEnd::Complete)
            end = fill(until, stop);
        message.body = std::exchange(buffer_, {});
        return end == ReadEnd::Closed ? ReadEnd::Complete : end;
    }
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (buffer_.size() < size) {
        if (const auto end = fill(until, stop); end != ReadEnd::Complete)
            return end == ReadEnd::Closed ? ReadEnd::Malformed : end;
    }
    message.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return ReadEnd::Complete;
}

bool Connection::isClosedByPeer() const
{
    char byte = 0;
    const auto count = ::recv(handle_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN);
}

void Connection::shutDownSending() { ::shutdown(handle_, SHUT_WR); }

bool Connection::readAvailable(std::string& bytes)
{
    bytes.clear();
    std::array<char, 16384> chunk {};
    const auto count = ::recv(handle_, chunk.data(), chunk.size(), MSG_DONTWAIT);
    if (count > 0)
        bytes.assign(chunk.data(), static_cast<std::size_t>(count));
    return count > 0 || (count < 0 && errno == EAGAIN);
}

void Connection::resetOnClose()
{
    const linger option { 1, 0 };
    ::setsockopt(handle_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

bool Connection::waitForEither(const Connection& first, const Connection& second, Milliseconds timeout)
{
    std::array<pollfd, 2> entries { pollfd { first.handle_, POLLIN, 0 },
        pollfd { second.handle_, POLLIN, 0 } };
    return ::poll(entries.data(), entries.size(), static_cast<int>(timeout.count())) > 0;
}

Server::Server(const std::string& ip, Handler handler)
    : handler_(std::move(handler))
    , address_ { ip, 0 }
    , handle_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    auto local = socketAddress(address_);
    socklen_t size = sizeof local;
    constexpr int backlog = 512;
    if (handle_ < 0 || ::bind(handle_, reinterpret_cast<const sockaddr*>(&local), sizeof local) < 0
        || ::listen(handle_, backlog) < 0
        || ::getsockname(handle_, reinterpret_cast<sockaddr*>(&local), &size) < 0)
        throw std::runtime_error("cannot listen on " + ip);
    address_.port = ntohs(local.sin_port);
    acceptor_ = std::thread([this] { accept(); });
}

Server::~Server()
{
    stop_ = true;
    acceptor_.join();
    for (auto& thread : threads_)
        thread.join();
}

void Server::accept()
{
    while (!stop_) {
        pollfd entry { handle_, POLLIN, 0 };
        if (::poll(&entry, 1, static_cast<int>(pollStep.count())) != 1)
            continue;
        const int peer = ::accept4(handle_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (peer < 0)
            continue;
        const int on = 1;
        ::setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        threads_.emplace_back([this, peer] {
            Connection connection(peer);
            handler_(connection, stop_);
        });
    }
    ::close(handle_);
}

std::uint16_t freePort(const std::string& ip)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto local = socketAddress({ ip, 0 });
    socklen_t size = sizeof local;
    const bool bound = ::bind(handle, reinterpret_cast<const sockaddr*>(&local), sizeof local) == 0
        && ::getsockname(handle, reinterpret_cast<sockaddr*>(&local), &size) == 0;
    ::close(handle);
    if (!bound)
        throw std::runtime_error("no free port on " + ip);
    return ntohs(local.sin_port);
}

bool isFree(const Address& address)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto local = socketAddress(address);
    const bool bound = ::bind(handle, reinterpret_cast<const sockaddr*>(&local), sizeof local) == 0;
    ::close(handle);
    return bound;
}

std::string serialise(const std::string& startLine, const Fields& fields, std::string_view body)
{
    std::string text = startLine + "\r\n";
    for (const auto& [name, value] : fields)
        text.append(name).append(": ").append(value).append("\r\n");
    return text.append("\r\n").append(body);
}

} // namespace review
