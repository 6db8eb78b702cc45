#include <eventloop/eventloop.h>

#include <eventloop/asio.h>

#include <map>

namespace cowsliprock {

namespace asio = boost::asio;

struct EventLoop::State
{
    asio::io_context context{ 1 };
    Clock clock;
    std::map<int, asio::signal_set> signals;
};

namespace {

void waitForSignal(asio::signal_set &signals, const std::function<void()> &action)
{
    signals.async_wait([&signals, action](const boost::system::error_code &error, int /*signal*/) {
        if (error)
            return;
        action();
        waitForSignal(signals, action);
    });
}

} // namespace

EventLoop::EventLoop()
    : m_state(std::make_unique<State>())
{ }

EventLoop::~EventLoop() = default;

TimePoint EventLoop::now() const noexcept
{
    return m_state->clock.now();
}

std::chrono::system_clock::time_point EventLoop::timeOfDay() const noexcept
{
    return std::chrono::system_clock::now();
}

void EventLoop::after(Duration delay, std::function<void()> action)
{
    if (delay <= Duration::zero()) {
        asio::post(m_state->context, std::move(action));
        return;
    }
    auto timer = std::make_unique<asio::steady_timer>(m_state->context, delay);
    auto &reference = *timer;
    reference.async_wait([timer = std::move(timer),
                          action = std::move(action)](const boost::system::error_code &error) {
        if (!error)
            action();
    });
}

void EventLoop::onSignal(int signalNumber, const std::function<void()> &action)
{
    const auto [entry, added] =
        m_state->signals.try_emplace(signalNumber, m_state->context, signalNumber);
    if (added)
        waitForSignal(entry->second, action);
}

void EventLoop::run()
{
    const auto work = asio::make_work_guard(m_state->context);
    m_state->context.restart();
    m_state->context.run();
}

void EventLoop::stop()
{
    m_state->context.stop();
}

asio::io_context &EventLoop::context() noexcept
{
    return m_state->context;
}

} // namespace cowsliprock
