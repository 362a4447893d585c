#pragma once

#include "net.h"

#include <fstream>
#include <mutex>
#include <string>

namespace review {

/** Writes what was sent, answered and run, with the milliseconds since the start. */
class Record {
public:
    explicit Record(const std::string& path)
        : file_(path)
        , startedAt_(Clock::now())
    {
    }

    void line(const std::string& text)
    {
        const std::lock_guard lock(mutex_);
        file_ << std::chrono::duration_cast<Milliseconds>(Clock::now() - startedAt_).count() << " ms " << text
              << "\n";
    }
    Milliseconds elapsed() const
    {
        return std::chrono::duration_cast<Milliseconds>(Clock::now() - startedAt_);
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
    const Clock::time_point startedAt_;
};

} // namespace review
