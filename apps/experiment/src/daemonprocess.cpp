#include <experiment/daemonprocess.h>

#include <settingsfile.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace cowsliprock::experiment {

namespace {

constexpr mode_t logFileMode = 0644;

ProcessUsage toUsage(const rusage &usage) noexcept
{
    const auto time = [](const timeval &value) {
        return std::chrono::seconds(value.tv_sec) + std::chrono::microseconds(value.tv_usec);
    };
    ProcessUsage result;
    result.cpuTime = time(usage.ru_utime) + time(usage.ru_stime);
    result.peakMemoryKb = static_cast<std::uint64_t>(usage.ru_maxrss);
    result.wakeUps = static_cast<std::uint64_t>(usage.ru_nvcsw);
    return result;
}

} // namespace

ProcessUsage &ProcessUsage::operator+=(const ProcessUsage &other) noexcept
{
    cpuTime += other.cpuTime;
    peakMemoryKb = std::max(peakMemoryKb, other.peakMemoryKb);
    wakeUps += other.wakeUps;
    return *this;
}

DaemonProcess::DaemonProcess(Settings settings)
    : m_settings(std::move(settings))
{ }

DaemonProcess::~DaemonProcess()
{
    if (!isRunning())
        return;
    signal(SIGKILL);
    rusage resourceUsage{};
    while (wait4(m_pid, nullptr, 0, &resourceUsage) < 0 && errno == EINTR) { }
}

Result<void> DaemonProcess::start()
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, m_settings.logFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, logFileMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string variable =
        std::string(platform::settingsPathVariable) + "=" + m_settings.settingsFile;
    std::array<char *, 2> environment{ variable.data(), nullptr };
    std::array<char *, 2> arguments{ m_settings.program.data(), nullptr };
    const int error = posix_spawn(&m_pid, m_settings.program.c_str(), &actions, nullptr,
                                  arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error == 0)
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    m_pid = 0;
    return Error{ ErrorKind::Unavailable, "process.start", m_settings.program,
                  std::strerror(error) };
}

void DaemonProcess::signal(int number) const noexcept
{
    if (isRunning())
        kill(m_pid, number);
}

bool DaemonProcess::reap()
{
    if (!isRunning())
        return false;
    rusage resourceUsage{};
    if (wait4(m_pid, nullptr, WNOHANG, &resourceUsage) != m_pid)
        return false;
    m_usage += toUsage(resourceUsage);
    m_pid = 0;
    return true;
}

} // namespace cowsliprock::experiment
