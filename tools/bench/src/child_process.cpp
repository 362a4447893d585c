#include "child_process.h"

#include <absl/cleanup/cleanup.h>

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <stdexcept>
#include <thread>
#include <utility>

// Needed for posix_spawn; not declared by a standard header.
extern char** environ; // NOLINT(readability-redundant-declaration)

namespace banyancroft::tools {

namespace {

constexpr auto pollPeriod = std::chrono::milliseconds(10);
/** Time between SIGTERM and SIGKILL when a child is terminated. */
constexpr auto terminationTimeout = std::chrono::seconds(3);
constexpr int signalExitBase = 128;

} // namespace

ChildProcess::ChildProcess(
    const std::vector<std::string>& command, const std::string& logPath, Duration timeout)
{
    std::array<int, 2> pipe {};
    if (::pipe2(pipe.data(), O_CLOEXEC) != 0)
        throw std::runtime_error("cannot create a pipe for the standard output of a child process");
    const absl::Cleanup closeRead = [&] { ::close(pipe[0]); };
    {
        const absl::Cleanup closeWrite = [&] { ::close(pipe[1]); };
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        const absl::Cleanup destroyActions = [&] { posix_spawn_file_actions_destroy(&actions); };
        posix_spawn_file_actions_adddup2(&actions, pipe[1], STDOUT_FILENO);
        constexpr mode_t logMode = 0644;
        posix_spawn_file_actions_addopen(
            &actions, STDERR_FILENO, logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, logMode);
        std::vector<char*> arguments;
        arguments.reserve(command.size() + 1);
        for (const auto& argument : command)
            arguments.push_back(const_cast<char*>(argument.c_str()));
        arguments.push_back(nullptr);
        if (posix_spawn(&pid_, arguments[0], &actions, nullptr, arguments.data(), environ) != 0) {
            pid_ = -1;
            throw std::runtime_error("cannot start " + command[0]);
        }
    }
    try {
        readReadyLine(pipe[0], timeout);
    } catch (...) {
        terminate();
        throw std::runtime_error(command[0] + " did not print a ready line in time; see " + logPath);
    }
}

ChildProcess::~ChildProcess() { terminate(); }

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : pid_(std::exchange(other.pid_, -1))
    , readyLine_(std::move(other.readyLine_))
{
}

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept
{
    terminate();
    pid_ = std::exchange(other.pid_, -1);
    readyLine_ = std::move(other.readyLine_);
    return *this;
}

void ChildProcess::readReadyLine(int descriptor, Duration timeout)
{
    const auto deadline = BootClock::now() + timeout;
    while (!readyLine_.ends_with('\n')) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - BootClock::now());
        pollfd waited { descriptor, POLLIN, 0 };
        char byte = 0;
        if (left.count() <= 0 || ::poll(&waited, 1, static_cast<int>(left.count())) <= 0
            || ::read(descriptor, &byte, 1) != 1)
            throw std::runtime_error("no ready line on standard output");
        readyLine_.push_back(byte);
    }
    readyLine_.pop_back();
    if (!readyLine_.starts_with("ready "))
        throw std::runtime_error("no ready line on standard output");
}

std::string ChildProcess::readyValue(std::string_view name) const
{
    const auto start = readyLine_.find(" " + std::string(name) + "=");
    if (start == std::string::npos)
        return {};
    const auto from = start + name.size() + 2;
    return readyLine_.substr(from, readyLine_.find(' ', from) - from);
}

void ChildProcess::signal(int number) const
{
    if (pid_ > 0)
        ::kill(pid_, number);
}

std::optional<int> ChildProcess::wait(Duration timeout)
{
    const auto deadline = BootClock::now() + timeout;
    while (pid_ > 0) {
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) == pid_) {
            pid_ = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status) : signalExitBase + WTERMSIG(status);
        }
        if (BootClock::now() >= deadline)
            return std::nullopt;
        std::this_thread::sleep_for(pollPeriod);
    }
    return 0;
}

void ChildProcess::terminate()
{
    if (pid_ <= 0)
        return;
    // A child stopped by SIGSTOP handles SIGTERM only after SIGCONT.
    signal(SIGTERM);
    signal(SIGCONT);
    if (wait(terminationTimeout))
        return;
    signal(SIGKILL);
    wait(terminationTimeout);
}

} // namespace banyancroft::tools
