#pragma once

#include <base/error.h>
#include <kernel/settings.h>
#include <logging/logging.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cowsliprock {

/// Number of items that wait between two duties.
struct RingSizes
{
    std::uint32_t kernel = 8192;
    std::uint32_t store = 1024;
    std::uint32_t peer = 4096;
    std::uint32_t worker = 4096;
    std::uint32_t endpoint = 2048;
};

/// Settings of one daemon process. Its incarnation is chosen by the runtime.
struct DaemonSettings
{
    /// Without an incarnation. A randomSeed of 0 leaves the choice to the runtime.
    KernelSettings kernel;
    std::string httpAddress;         ///< "host:port" that callers and operators use.
    std::string peerAddress;         ///< "host:port" that other daemons use.
    std::string storeAddress;        ///< "host:port" of the platform.
    std::uint32_t httpThreads = 256; ///< A kept connection occupies one while it is open.
    std::uint32_t endpointCallThreads = 64;
    std::uint32_t workerCallThreads = 8;
    RingSizes rings;
    std::uint32_t bodyLimitBytes = 4'194'304;
    std::uint32_t headerLimitBytes = 8192; ///< Of one header line.
    std::uint32_t headerLimitCount = 100;
    Duration readTimeout{ std::chrono::seconds(5) };
    LogFormat logFormat = LogFormat::Text;
    LogLevel logLevel = LogLevel::Info;
    std::string traceFile; ///< Empty: no trace is recorded.
};

/// Reads the settings file and applies overrides of the form "key=value". A key is a path with
/// dots; an element of a list is named by its index or its "name" ("daemons.noord-1.httpAddress").
/// A value is JSON, or text where it is not JSON or the file has text at that place.
/// Fails with ErrorKind::Invalid and all faults, one to a line.
[[nodiscard]] Result<DaemonSettings> loadDaemonSettings(const std::string &path,
                                                        const std::vector<std::string> &overrides);

/// The same from text.
[[nodiscard]] Result<DaemonSettings> parseDaemonSettings(std::string_view text,
                                                         const std::vector<std::string> &overrides);

/// Command line of the daemon.
struct DaemonArguments
{
    std::string settingsPath;
    std::vector<std::string> overrides;
    bool help = false;
    std::string helpText;
};

/// Reads `--settings FILE --set key=value ... --help`. Fails with ErrorKind::Invalid.
[[nodiscard]] Result<DaemonArguments> parseDaemonArguments(int argc, const char *const *argv);

} // namespace cowsliprock
