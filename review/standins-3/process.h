#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/// A child process, killed at the end of its object's life.
class Process
{
public:
    Process() = default;
    Process(const std::vector<std::string> &command, const std::vector<std::string> &environment,
            const std::string &logFile);
    ~Process();
    Process(Process &&other) noexcept;
    Process &operator=(Process &&other) noexcept;
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    [[nodiscard]] pid_t pid() const noexcept { return m_pid; }
    /// True while it has not ended.
    [[nodiscard]] bool running();
    void signal(int number) const;
    void kill();
    /// Memory in use in MB; 0 if it has ended.
    [[nodiscard]] double residentMb() const;

    /// From now on a signal that ends this process kills its children first.
    static void killChildrenAtEnd();

private:
    void setPid(pid_t pid) noexcept;

    pid_t m_pid = 0;
};

} // namespace review
