#pragma once

#include <base/error.h>
#include <base/time.h>

#include <cstdint>
#include <string>
#include <sys/types.h>

namespace cowsliprock::experiment {

/// Resources used by processes that have exited.
struct ProcessUsage
{
    Duration cpuTime{};             ///< User and system time.
    std::uint64_t peakMemoryKb = 0; ///< Peak resident set size, in KiB.
    std::uint64_t wakeUps = 0;      ///< Voluntary context switches.

    /// Adds times and counts; takes the maximum of the peak memory.
    ProcessUsage &operator+=(const ProcessUsage &other) noexcept;
};

/// A daemon process whose output is written to a log file. The destructor kills the process.
class DaemonProcess
{
public:
    struct Settings
    {
        std::string program;
        std::string settingsFile;
        std::string logFile; ///< Appended to.
    };

    explicit DaemonProcess(Settings settings);
    ~DaemonProcess();
    DaemonProcess(const DaemonProcess &) = delete;
    DaemonProcess &operator=(const DaemonProcess &) = delete;

    /// Spawns the process.
    [[nodiscard]] Result<void> start();

    [[nodiscard]] bool isRunning() const noexcept { return m_pid > 0; }

    /// Process ID, or 0 if the process is not running.
    [[nodiscard]] pid_t id() const noexcept { return m_pid; }

    /// Sends a signal to the process, if it is running.
    void signal(int number) const noexcept;

    /// Collects the exit status without blocking. Returns true if the process has exited since the
    /// last call.
    bool reap();

    /// Sum over all processes of this object that have exited.
    [[nodiscard]] const ProcessUsage &usage() const noexcept { return m_usage; }

private:
    Settings m_settings;
    pid_t m_pid = 0;
    ProcessUsage m_usage;
};

} // namespace cowsliprock::experiment
