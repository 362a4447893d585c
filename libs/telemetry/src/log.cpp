#include "telemetry/log.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <atomic>
#include <memory>

namespace banyancroft::telemetry {

namespace {

std::atomic<LogLevel> currentLevel { LogLevel::Info };
std::atomic<bool> isSetUp { false };

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
    static log4cplus::Initializer initializer;
    auto appender = log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(true, true));
    const std::string pattern
        = "%D{%Y-%m-%dT%H:%M:%S.%qZ} level=%p vm=" + std::string(vm) + " component=%c %m%n";
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_STRING_TO_TSTRING(pattern)));
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(toLog4cplus(level));
    currentLevel = level;
    isSetUp = true;
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
