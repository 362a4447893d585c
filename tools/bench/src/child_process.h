#pragma once

#include "base/time.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <sys/types.h>

namespace banyancroft::tools {

/**
 * Runs a child process, which the destructor terminates by its PID.
 *
 * The program must print one line that starts with "ready " on standard output; its standard error is
 * appended to a file. The constructor throws std::runtime_error if the program cannot be started or does not
 * print the line within the timeout. Not thread-safe.
 */
class ChildProcess {
public:
    ChildProcess(const std::vector<std::string>& command, const std::string& logPath, Duration timeout);
    ~ChildProcess();
    ChildProcess(ChildProcess&& other) noexcept;
    ChildProcess& operator=(ChildProcess&& other) noexcept;

    pid_t pid() const { return pid_; }
    /** Value of "name=value" in the ready line; empty if the name is missing. */
    std::string readyValue(std::string_view name) const;
    void signal(int number) const;
    /** Waits for the process to exit. @return exit status, or 128 + signal; empty on timeout */
    std::optional<int> wait(Duration timeout);

private:
    void readReadyLine(int descriptor, Duration timeout);
    void terminate();

    pid_t pid_ = -1;
    std::string readyLine_;
};

} // namespace banyancroft::tools
