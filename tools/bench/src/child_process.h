#pragma once

#include "base/time.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <sys/types.h>

namespace banyancroft::tools {

/**
 * A child process, ended by its pid when the object goes away.
 *
 * The program has to print one line that starts with "ready " on standard output; its standard error
 * goes to a file. Construction throws std::runtime_error when the program cannot be started or does not
 * get ready in time. Owned by one thread.
 */
class ChildProcess {
public:
    ChildProcess(const std::vector<std::string>& command, const std::string& logPath, Duration timeout);
    ~ChildProcess();
    ChildProcess(ChildProcess&& other) noexcept;
    ChildProcess& operator=(ChildProcess&& other) noexcept;

    pid_t pid() const { return pid_; }
    /** Value of "name=value" in the ready line; empty when it is not there. */
    std::string readyValue(std::string_view name) const;
    void signal(int number) const;
    /** Waits for the end. @return exit status, 128 + signal for a death by signal; empty in time */
    std::optional<int> wait(Duration timeout);

private:
    void readReadyLine(int descriptor, Duration timeout);
    void terminate();

    pid_t pid_ = -1;
    std::string readyLine_;
};

} // namespace banyancroft::tools
