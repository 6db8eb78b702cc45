#pragma once

#include <base/error.h>
#include <kernel/settings.h>
#include <logging/logging.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cowsliprock {

/// Capacities, in items, of the ring buffers between runtime threads.
struct RingSizes
{
    std::uint32_t kernel = 8192;
    std::uint32_t store = 1024;
    std::uint32_t peer = 4096;
    std::uint32_t worker = 4096;
    std::uint32_t endpoint = 2048;
};

/// Settings of one daemon process. The runtime chooses its incarnation.
struct DaemonSettings
{
    /// Incarnation not set. With a randomSeed of 0 the runtime chooses a seed.
    KernelSettings kernel;
    std::string httpAddress;         ///< "host:port" for callers and operators.
    std::string peerAddress;         ///< "host:port" for other daemons.
    std::string storeAddress;        ///< "host:port" of the platform.
    std::uint32_t httpThreads = 256; ///< A keep-alive connection occupies one while it is open.
    std::uint32_t endpointCallThreads = 64;
    std::uint32_t workerCallThreads = 8;
    RingSizes rings;
    std::uint32_t bodyLimitBytes = 4'194'304;
    std::uint32_t headerLimitBytes = 8192; ///< Per header line.
    std::uint32_t headerLimitCount = 100;
    Duration readTimeout{ std::chrono::seconds(5) };
    LogFormat logFormat = LogFormat::Text;
    LogLevel logLevel = LogLevel::Info;
    std::string traceFile; ///< Empty: no trace is recorded.
};

/// Reads the settings file and applies overrides of the form "key=value". A key is a dotted path;
/// array elements are selected by index or by "name" ("daemons.noord-1.httpAddress"). A value is
/// parsed as JSON, or taken as a string if it is not valid JSON or replaces a string.
/// If settings are invalid, fails with ErrorKind::Invalid and all errors, one per line.
[[nodiscard]] Result<DaemonSettings> loadDaemonSettings(const std::string &path,
                                                        const std::vector<std::string> &overrides);

/// Like loadDaemonSettings, but parses the settings from text.
[[nodiscard]] Result<DaemonSettings> parseDaemonSettings(std::string_view text,
                                                         const std::vector<std::string> &overrides);

/// Command line arguments of the daemon.
struct DaemonArguments
{
    std::string settingsPath;
    std::vector<std::string> overrides;
    bool help = false;
    std::string helpText;
};

/// Parses `--settings FILE --set key=value ... --help`. Fails with ErrorKind::Invalid.
[[nodiscard]] Result<DaemonArguments> parseDaemonArguments(int argc, const char *const *argv);

} // namespace cowsliprock
