#include <logging/logging.h>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <nlohmann/json.hpp>

#include <memory>

namespace cowsliprock {

namespace {

log4cplus::LogLevel toLog4cplusLevel(LogLevel level) noexcept
{
    switch (level) {
    case LogLevel::Trace:
        return log4cplus::TRACE_LOG_LEVEL;
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warn:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    case LogLevel::Off:
        return log4cplus::OFF_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

std::string toJsonString(const std::string &text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Formats each log event as a JSON object on its own line.
class JsonLayout : public log4cplus::Layout
{
public:
    void formatAndAppend(log4cplus::tostream &output,
                         const log4cplus::spi::InternalLoggingEvent &event) override
    {
        const auto time = log4cplus::helpers::getFormattedTime(
            LOG4CPLUS_TEXT("%Y-%m-%dT%H:%M:%S.%qZ"), event.getTimestamp(), true);
        output << "{\"time\":" << toJsonString(time)
               << ",\"level\":" << toJsonString(llmCache.toString(event.getLogLevel()))
               << ",\"process\":" << toJsonString(event.getLoggerName())
               << ",\"message\":" << toJsonString(event.getMessage()) << "}\n";
    }
};

std::string &loggerName()
{
    static std::string name = "cowsliprock";
    return name;
}

} // namespace

void startLogging(LogFormat format, LogLevel level, const std::string &processName)
{
    static const log4cplus::Initializer initializer;
    loggerName() = processName;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    if (format == LogFormat::Json)
        appender->setLayout(std::make_unique<JsonLayout>());
    else
        appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
            LOG4CPLUS_TEXT("%D{%H:%M:%S.%q} %-5p %c %m%n")));
    auto logger = log4cplus::Logger::getInstance(processName);
    logger.removeAllAppenders();
    logger.addAppender(appender);
    logger.setAdditivity(false);
    logger.setLogLevel(toLog4cplusLevel(level));
}

void logLine(LogLevel level, const std::string &text)
{
    log4cplus::Logger::getInstance(loggerName()).log(toLog4cplusLevel(level), text);
}

} // namespace cowsliprock
