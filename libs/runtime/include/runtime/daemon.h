#pragma once

#include <base/error.h>
#include <settings/daemonsettings.h>

#include <memory>

namespace cowsliprock {

/// A running daemon: the kernel and the threads that perform its input and output with callers,
/// peers, the platform, workers and endpoints.
class Daemon
{
public:
    struct Builder
    {
        DaemonSettings settings;

        /// Binds the addresses and starts all threads.
        [[nodiscard]] Result<std::unique_ptr<Daemon>> build() const;
    };

    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Starts a graceful shutdown. Thread-safe.
    void requestDrain();

    /// True once the drain has ended and the process may exit. Thread-safe.
    [[nodiscard]] bool finished() const noexcept;

private:
    struct State;
    explicit Daemon(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace cowsliprock
