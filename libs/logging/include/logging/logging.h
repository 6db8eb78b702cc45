#pragma once

#include <string>

namespace cowsliprock {

enum class LogFormat { Text, Json };
enum class LogLevel { Trace, Debug, Info, Warn, Error, Off };

/// Sets up the process's log on standard error. Call once, before other threads start.
void startLogging(LogFormat format, LogLevel level, const std::string &processName);

/// Writes one line. Thread-safe. Meant for changes of state; counters carry everything else.
void logLine(LogLevel level, const std::string &text);

} // namespace cowsliprock
