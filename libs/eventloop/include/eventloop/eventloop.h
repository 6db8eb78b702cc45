#pragma once

#include <eventloop/timers.h>

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace cowsliprock {

/// Single-threaded event loop for timers, signals and sockets, based on Boost.Asio.
class EventLoop : public Timers
{
public:
    EventLoop();
    ~EventLoop() override;
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    [[nodiscard]] TimePoint now() const noexcept override;
    [[nodiscard]] std::chrono::system_clock::time_point timeOfDay() const noexcept override;
    void after(Duration delay, std::function<void()> action) override;

    /// Calls \p action each time the process receives \p signalNumber.
    void onSignal(int signalNumber, const std::function<void()> &action);

    /// Sets the callback for exceptions that escape from an event handler; it receives the
    /// exception's message, and the loop continues afterwards. Without a callback, run() propagates
    /// the exception.
    void onUnexpectedError(std::function<void(const std::string &)> action);

    /// Handles events on the calling thread until stop() is called. May be called again.
    void run();
    void stop();

    /// For the HTTP classes of this library.
    [[nodiscard]] boost::asio::io_context &context() noexcept;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace cowsliprock
