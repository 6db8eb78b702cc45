#include <eventloop/eventloop.h>

#include <eventloop/asio.h>

#include <exception>
#include <map>
#include <utility>

namespace cowsliprock {

namespace asio = boost::asio;

struct EventLoop::State
{
    asio::io_context context{ 1 };
    Clock clock;
    std::map<int, asio::signal_set> signals;
    std::function<void(const std::string &)> unexpectedError;
};

namespace {

void waitForSignal(asio::signal_set &signals, const std::function<void()> &action)
{
    signals.async_wait([&signals, action](const boost::system::error_code &error, int /*signal*/) {
        if (error)
            return;
        waitForSignal(signals, action);
        action();
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
    while (!m_state->context.stopped()) {
        try {
            m_state->context.run();
        } catch (const std::exception &exception) {
            if (!m_state->unexpectedError)
                throw;
            m_state->unexpectedError(exception.what());
        }
    }
}

void EventLoop::onUnexpectedError(std::function<void(const std::string &)> action)
{
    m_state->unexpectedError = std::move(action);
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
