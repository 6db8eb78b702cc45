#include "process.h"

#include <array>
#include <atomic>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

std::vector<char *> pointersTo(std::vector<std::string> &texts)
{
    std::vector<char *> pointers;
    pointers.reserve(texts.size() + 1);
    for (auto &text : texts)
        pointers.push_back(text.data());
    pointers.push_back(nullptr);
    return pointers;
}

/// Children that may still run; read by the signal handler.
std::array<std::atomic<pid_t>, 128> children;

void replaceChild(pid_t former, pid_t next) noexcept
{
    for (auto &child : children) {
        pid_t expected = former;
        if (child.compare_exchange_strong(expected, next))
            return;
    }
}

void killChildren(int /*signal*/)
{
    for (auto &child : children) {
        if (const pid_t pid = child.load(); pid != 0)
            ::kill(pid, SIGKILL);
    }
    _exit(2);
}

} // namespace

void Process::killChildrenAtEnd()
{
    for (const int number : { SIGTERM, SIGINT, SIGHUP })
        std::signal(number, killChildren);
}

void Process::setPid(pid_t pid) noexcept
{
    replaceChild(m_pid, pid);
    m_pid = pid;
}

Process::Process(const std::vector<std::string> &command,
                 const std::vector<std::string> &environment, const std::string &logFile)
{
    auto arguments = command;
    auto variables = environment;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t pid = 0;
    const int error = posix_spawn(&pid, arguments.front().c_str(), &actions, nullptr,
                                  pointersTo(arguments).data(), pointersTo(variables).data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::runtime_error("cannot start " + command.front());
    setPid(pid);
}

Process::~Process()
{
    kill();
}

Process::Process(Process &&other) noexcept
    : m_pid(std::exchange(other.m_pid, 0))
{ }

Process &Process::operator=(Process &&other) noexcept
{
    if (this != &other) {
        kill();
        m_pid = std::exchange(other.m_pid, 0);
    }
    return *this;
}

bool Process::running()
{
    if (m_pid == 0)
        return false;
    if (waitpid(m_pid, nullptr, WNOHANG) == 0)
        return true;
    setPid(0);
    return false;
}

void Process::signal(int number) const
{
    if (m_pid != 0)
        ::kill(m_pid, number);
}

void Process::kill()
{
    if (m_pid == 0)
        return;
    ::kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    setPid(0);
}

double Process::residentMb() const
{
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
    double total = 0;
    double resident = 0;
    if (m_pid == 0 || !(file >> total >> resident))
        return 0;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024.0 * 1024.0);
}

} // namespace review
