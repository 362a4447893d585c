#include "telemetry/log.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <fcntl.h>
#include <unistd.h>

#include <atomic>
#include <memory>

namespace banyancroft::telemetry {

namespace {

std::atomic<LogLevel> currentLevel { LogLevel::Info };
std::atomic<bool> isSetUp { false };

/** Buffers lines for standard output and drops those that do not fit; used by one thread. */
class BufferedAppender : public log4cplus::Appender {
public:
    explicit BufferedAppender(std::size_t capacity)
        : capacity_(capacity)
    {
        // A stalled reader of standard output must not block the process.
        const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }

    ~BufferedAppender() override { destructorImpl(); }

    void close() override
    {
        flush();
        closed = true;
    }

    void flush()
    {
        if (dropped_ > 0 && pending_.size() < capacity_ / 2) {
            pending_.append("msg=\"log lines were dropped because the output buffer was full\" lines="
                + std::to_string(dropped_) + "\n");
            dropped_ = 0;
        }
        while (!pending_.empty()) {
            const auto count = ::write(STDOUT_FILENO, pending_.data(), pending_.size());
            if (count <= 0)
                return;
            pending_.erase(0, static_cast<std::size_t>(count));
        }
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override
    {
        const auto& line = formatEvent(event);
        if (pending_.size() + line.size() > capacity_) {
            ++dropped_;
            return;
        }
        pending_.append(LOG4CPLUS_TSTRING_TO_STRING(line));
    }

private:
    const std::size_t capacity_;
    std::string pending_;
    std::uint64_t dropped_ = 0;
};

/** Owned by log4cplus. */
BufferedAppender* bufferedAppender = nullptr;

log4cplus::LogLevel toLog4cplus(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warn:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

void appendValue(std::string& out, std::string_view value)
{
    const bool plain = !value.empty() && value.find_first_of(" \"=\\\n\r\t") == std::string_view::npos;
    if (plain) {
        out.append(value);
        return;
    }
    out.push_back('"');
    for (char c : value) {
        if (c == '"' || c == '\\')
            out.push_back('\\');
        // A line break inside a value would start a forged log line.
        const bool isControl = static_cast<unsigned char>(c) < ' ';
        out.push_back(isControl ? ' ' : c);
    }
    out.push_back('"');
}

} // namespace

namespace {

void initialise() { static log4cplus::Initializer initializer; }

std::string linePattern(std::string_view vm)
{
    return "%D{%Y-%m-%dT%H:%M:%S.%qZ} level=%p vm=" + std::string(vm) + " component=%c %m%n";
}

void useAppender(LogLevel level, std::string_view vm, const log4cplus::SharedAppenderPtr& appender)
{
    appender->setLayout(
        std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_STRING_TO_TSTRING(linePattern(vm))));
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(toLog4cplus(level));
    currentLevel = level;
    isSetUp = true;
}

} // namespace

std::optional<LogLevel> logLevelFromString(std::string_view text)
{
    if (text == "debug")
        return LogLevel::Debug;
    if (text == "info")
        return LogLevel::Info;
    if (text == "warn")
        return LogLevel::Warn;
    if (text == "error")
        return LogLevel::Error;
    return std::nullopt;
}

void setUpLogging(LogLevel level, std::string_view vm)
{
    initialise();
    useAppender(level, vm, log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(true, true)));
}

void setUpBufferedLogging(LogLevel level, std::string_view vm, std::size_t bufferBytes)
{
    initialise();
    bufferedAppender = new BufferedAppender(bufferBytes);
    useAppender(level, vm, log4cplus::SharedAppenderPtr(bufferedAppender));
}

void flushLog()
{
    if (bufferedAppender)
        bufferedAppender->flush();
}

bool logEnabled(LogLevel level) { return isSetUp && level >= currentLevel; }

std::string formatLogLine(std::string_view message, std::initializer_list<LogField> fields)
{
    std::string line = "msg=";
    appendValue(line, message);
    for (const auto& field : fields) {
        line.push_back(' ');
        line.append(field.key);
        line.push_back('=');
        appendValue(line, field.value);
    }
    return line;
}

void log(LogLevel level, std::string_view component, std::string_view message,
    std::initializer_list<LogField> fields)
{
    if (!logEnabled(level))
        return;
    auto logger = log4cplus::Logger::getInstance(LOG4CPLUS_STRING_TO_TSTRING(std::string(component)));
    logger.log(toLog4cplus(level), LOG4CPLUS_STRING_TO_TSTRING(formatLogLine(message, fields)));
}

} // namespace banyancroft::telemetry
