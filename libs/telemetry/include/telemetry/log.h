#pragma once

#include <cstddef>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace banyancroft::telemetry {

enum class LogLevel {
    Debug,
    Info,
    Warn,
    Error,
};

/** Reads `debug`, `info`, `warn` or `error`; empty for anything else. */
std::optional<LogLevel> logLevelFromString(std::string_view text);

/** One key=value pair of a log line. Values with spaces or quotes are quoted on output. */
struct LogField {
    std::string_view key;
    std::string value;
};

/**
 * Sends log lines to standard error through log4cplus. Called once by main before any other thread
 * starts; lines logged before are dropped.
 * @param vm name of the VM, written on each line
 */
void setUpLogging(LogLevel level, std::string_view vm);

/**
 * Like setUpLogging(), but lines go to standard output through a bounded buffer, which flushLog() writes
 * without blocking. Lines that do not fit are dropped; a later line reports how many.
 * @param bufferBytes capacity of the buffer
 */
void setUpBufferedLogging(LogLevel level, std::string_view vm, std::size_t bufferBytes);

/** Writes buffered lines as far as standard output accepts them without blocking. */
void flushLog();

/**
 * Writes one line: time, level, component, message and fields as key=value. Thread-safe.
 *
 *     log(LogLevel::Warn, "store", "write failed", { { "key", key }, { "reason", toString(reason) } });
 */
void log(LogLevel level, std::string_view component, std::string_view message,
    std::initializer_list<LogField> fields = {});

/** True when lines of this level are written; callers check it before they build expensive fields. */
bool logEnabled(LogLevel level);

/** Message and fields as they appear on a line; public for tests. */
std::string formatLogLine(std::string_view message, std::initializer_list<LogField> fields);

} // namespace banyancroft::telemetry
