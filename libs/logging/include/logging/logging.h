#pragma once

#include <string>

namespace cowsliprock {

/// Output format: plain text or one JSON object per line.
enum class LogFormat { Text, Json };
/// Severity of a line and threshold of the log, in ascending order.
enum class LogLevel { Trace, Debug, Info, Warn, Error, Off };

/// Initializes logging to standard error. Call once, before other threads start.
void startLogging(LogFormat format, LogLevel level, const std::string &processName);

/// Writes one log line. Thread-safe. Intended for state changes; use metrics for frequent events.
void logLine(LogLevel level, const std::string &text);

} // namespace cowsliprock
