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
 * As setUpLogging(), but lines go to standard output through a bounded buffer: flushLog() writes what the
 * output takes at once and never waits. Lines that do not fit are counted and told later.
 * @param bufferBytes most bytes that wait to be written
 */
void setUpBufferedLogging(LogLevel level, std::string_view vm, std::size_t bufferBytes);

/** Writes buffered lines as far as standard output takes them without waiting. */
void flushLog();

/**
 * Writes one line: time, level, component, message and fields as key=value. Thread-safe.
 *
 *     log(LogLevel::Warn, "store", "write failed", { { "key", key }, { "reason", toString(reason) } });
 */
void log(LogLevel level, std::string_view component, std::string_view message,
    std::initializer_list<LogField> fields = {});

/** True when lines of this level are written; guards expensive fields. */
bool logEnabled(LogLevel level);

/** Message and fields as they appear on a line; separate for tests. */
std::string formatLogLine(std::string_view message, std::initializer_list<LogField> fields);

} // namespace banyancroft::telemetry
