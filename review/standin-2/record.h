#pragma once

#include <cstdio>
#include <mutex>
#include <string>
#include <string_view>

namespace banyancroft::review2 {

/** The record of a case: what was sent, answered and run, one line for each event. */
class Record {
public:
    explicit Record(const std::string& path)
        : file_(std::fopen(path.c_str(), "w"))
    {
    }
    ~Record()
    {
        if (file_)
            std::fclose(file_);
    }
    Record(const Record&) = delete;
    Record& operator=(const Record&) = delete;

    /** Writes a line with the time since the start of the program. */
    void line(std::string_view text);
    /** Writes a line to the record and to standard output. */
    void say(std::string_view text);

private:
    std::mutex mutex_;
    std::FILE* file_;
};

/** printf into a string. */
[[gnu::format(printf, 1, 2)]] std::string format(const char* pattern, ...);

} // namespace banyancroft::review2
