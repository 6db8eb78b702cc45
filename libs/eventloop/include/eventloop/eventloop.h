#pragma once

#include <eventloop/timers.h>

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace cowsliprock {

/// One thread's loop of timers, signals and sockets (Boost.Asio).
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

    /// \p action is called with the text of an exception that escaped from the handler of an event;
    /// the loop goes on afterwards. Without an action, run() lets the exception through.
    void onUnexpectedError(std::function<void(const std::string &)> action);

    /// Runs until stop(). Handles all events in the calling thread. May be called again.
    void run();
    void stop();

    /// For the HTTP classes of this library.
    [[nodiscard]] boost::asio::io_context &context() noexcept;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace cowsliprock
