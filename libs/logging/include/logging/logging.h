#pragma once

#include <string>

namespace cowsliprock {

enum class LogFormat { Text, Json };
enum class LogLevel { Trace, Debug, Info, Warn, Error, Off };

/// Initializes logging to standard error. Call once, before other threads start.
void startLogging(LogFormat format, LogLevel level, const std::string &processName);

/// Writes one log line. Thread-safe. Intended for state changes; use metrics for frequent events.
void logLine(LogLevel level, const std::string &text);

} // namespace cowsliprock
