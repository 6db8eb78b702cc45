#pragma once

#include <base/error.h>
#include <base/time.h>

#include <cstdint>
#include <string>
#include <sys/types.h>

namespace cowsliprock::experiment {

/// What a process has used until its end.
struct ProcessUsage
{
    Duration processor{};
    std::uint64_t peakMemoryKb = 0;
    std::uint64_t wakeUps = 0; ///< Times that it waited for an event.

    ProcessUsage &operator+=(const ProcessUsage &other) noexcept;
};

/// One daemon as a process of its own, with its output in a file. Ends with this object.
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

    [[nodiscard]] Result<void> start();

    [[nodiscard]] bool running() const noexcept { return m_id > 0; }

    /// Sends a signal to the process that start() began.
    void signal(int number) const noexcept;

    /// Notices the end of the process. Returns true if it has just ended.
    bool reap();

    /// Of all processes that have ended.
    [[nodiscard]] const ProcessUsage &usage() const noexcept { return m_usage; }

private:
    Settings m_settings;
    pid_t m_id = 0;
    ProcessUsage m_usage;
};

} // namespace cowsliprock::experiment
