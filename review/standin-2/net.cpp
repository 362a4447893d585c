#include "net.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <memory>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace banyancroft::review2 {

namespace {

constexpr int listenBacklog = 512;

sockaddr_in socketAddress(const Address& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

int waitFor(int handle, short events, Milliseconds timeout)
{
    pollfd entry { handle, events, 0 };
    return ::poll(&entry, 1, static_cast<int>(timeout.count()));
}

std::uint16_t portOf(int handle)
{
    sockaddr_in bound {};
    socklen_t size = sizeof bound;
    ::getsockname(handle, reinterpret_cast<sockaddr*>(&bound), &size);
    return ntohs(bound.sin_port);
}

int boundSocket(const std::string& ip)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const auto address = socketAddress({ ip, 0 });
    if (::bind(handle, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(handle);
        throw std::runtime_error("cannot bind a port of " + ip);
    }
    return handle;
}

std::string decoded(std::string_view text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result.push_back(static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16)));
            i += 2;
        } else {
            result.push_back(text[i]);
        }
    }
    return result;
}

} // namespace

double seconds()
{
    static const auto start = Clock::now();
    return std::chrono::duration<double>(Clock::now() - start).count();
}

std::string loopbackIp(unsigned number)
{
    const auto process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(1 + process / 250 % 250) + "." + std::to_string(1 + process % 250) + "."
        + std::to_string(number);
}

std::uint16_t freePort(const std::string& ip)
{
    const int handle = boundSocket(ip);
    const auto port = portOf(handle);
    ::close(handle);
    return port;
}

std::string Message::field(const std::string& name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

unsigned Message::status() const
{
    return startLine.starts_with("HTTP/1.1 ") ? static_cast<unsigned>(std::stoul(startLine.substr(9))) : 0;
}

std::string Message::path() const
{
    const auto begin = startLine.find(' ') + 1;
    return startLine.substr(begin, startLine.find_first_of(" ?", begin) - begin);
}

std::map<std::string, std::string> Message::query() const
{
    std::map<std::string, std::string> result;
    const auto target = startLine.substr(0, startLine.rfind(' '));
    const auto at = target.find('?');
    auto text = at == std::string::npos ? std::string_view() : std::string_view(target).substr(at + 1);
    while (!text.empty()) {
        const auto part = text.substr(0, text.find('&'));
        text.remove_prefix(std::min(part.size() + 1, text.size()));
        const auto equals = std::min(part.find('='), part.size());
        result[std::string(part.substr(0, equals))] = decoded(part.substr(std::min(equals + 1, part.size())));
    }
    return result;
}

std::string serialise(std::string_view startLine, const Fields& fields, std::string_view body)
{
    std::string text(startLine);
    text.append("\r\n");
    for (const auto& [name, value] : fields)
        text.append(name).append(": ").append(value).append("\r\n");
    if (!body.empty() || !startLine.starts_with("GET "))
        text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    return text.append("\r\n").append(body);
}

std::string response(unsigned status, const Fields& fields, std::string_view body)
{
    return serialise("HTTP/1.1 " + std::to_string(status) + " Status", fields, body);
}

Connection::~Connection() { ::close(handle_); }

std::shared_ptr<Connection> Connection::open(const Address& to, Milliseconds timeout, int receiveBuffer)
{
    auto connection
        = std::make_shared<Connection>(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const int handle = connection->handle_;
    if (receiveBuffer > 0)
        ::setsockopt(handle, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    const auto address = socketAddress(to);
    const int result = ::connect(handle, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    if (result != 0 && errno != EINPROGRESS)
        return nullptr;
    int failure = 0;
    socklen_t size = sizeof failure;
    if (waitFor(handle, POLLOUT, timeout) <= 0
        || ::getsockopt(handle, SOL_SOCKET, SO_ERROR, &failure, &size) != 0 || failure != 0)
        return nullptr;
    const int yes = 1;
    ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    return connection;
}

bool Connection::write(std::string_view bytes) const
{
    constexpr Milliseconds longest(20'000);
    while (!bytes.empty()) {
        const auto count = ::send(handle_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(count));
        } else if (count == 0 || errno != EAGAIN || waitFor(handle_, POLLOUT, longest) <= 0) {
            return false;
        }
    }
    return true;
}

long Connection::readSome(char* bytes, std::size_t size, Milliseconds timeout) const
{
    if (waitFor(handle_, POLLIN, timeout) <= 0)
        return -1;
    const auto count = ::recv(handle_, bytes, size, 0);
    return std::max<long>(count, 0);
}

std::optional<Message> Connection::read(Milliseconds timeout)
{
    const auto end = Clock::now() + timeout;
    const auto more = [&] {
        char bytes[16 * 1024];
        const auto left = std::chrono::duration_cast<Milliseconds>(end - Clock::now());
        const auto count = readSome(bytes, sizeof bytes, std::max(left, Milliseconds(0)));
        if (count > 0)
            buffer_.append(bytes, static_cast<std::size_t>(count));
        return count > 0;
    };
    std::size_t headEnd = 0;
    while ((headEnd = buffer_.find("\r\n\r\n")) == std::string::npos) {
        if (!more())
            return std::nullopt;
    }
    Message message;
    std::size_t at = buffer_.find("\r\n");
    message.startLine = buffer_.substr(0, at);
    while (at < headEnd) {
        at += 2;
        const auto lineEnd = buffer_.find("\r\n", at);
        const auto colon = std::min(buffer_.find(':', at), lineEnd);
        auto name = buffer_.substr(at, colon - at);
        std::transform(name.begin(), name.end(), name.begin(),
            [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        auto value = buffer_.substr(std::min(colon + 1, lineEnd), lineEnd - std::min(colon + 1, lineEnd));
        value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
        message.fields.emplace(std::move(name), std::move(value));
        at = lineEnd;
    }
    const auto length = message.field("content-length");
    const auto size = length.empty() ? 0 : std::stoul(length);
    while (buffer_.size() < headEnd + 4 + size) {
        if (!more())
            return std::nullopt;
    }
    message.body = buffer_.substr(headEnd + 4, size);
    buffer_.erase(0, headEnd + 4 + size);
    return message;
}

void Connection::shutdown() const { ::shutdown(handle_, SHUT_RDWR); }

void Connection::reset()
{
    const linger option { 1, 0 };
    ::setsockopt(handle_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    shutdown();
}

Listener::Listener(const std::string& ip, Serve serve)
    : handle_(boundSocket(ip))
    , address_ { ip, portOf(handle_) }
{
    ::listen(handle_, listenBacklog);
    std::thread([handle = handle_, serve = std::move(serve)] {
        while (true) {
            const int accepted = ::accept4(handle, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
            if (accepted < 0)
                return;
            const int yes = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
            std::thread([connection = std::make_shared<Connection>(accepted), serve] {
                serve(connection);
            }).detach();
        }
    }).detach();
}

Listener::~Listener() { close(); }

void Listener::close()
{
    // Ends the pending accept; the handle stays reserved, so that the thread never uses that of another
    // socket.
    ::shutdown(handle_, SHUT_RDWR);
}

} // namespace banyancroft::review2
