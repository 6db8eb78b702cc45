#include <base/eventlog.h>
#include <base/metrics.h>
#include <eventloop/httplimitlog.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <vector>

using namespace cowsliprock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Timers that run when the test advances the time.
class ManualTimers : public Timers
{
public:
    [[nodiscard]] TimePoint now() const noexcept override { return m_now; }
    [[nodiscard]] std::chrono::system_clock::time_point timeOfDay() const noexcept override
    {
        return {};
    }
    void after(Duration delay, std::function<void()> action) override
    {
        m_actions.emplace_back(m_now + delay, std::move(action));
    }

    void advance(Duration time)
    {
        m_now += time;
        auto actions = std::exchange(m_actions, {});
        for (auto &[due, action] : actions) {
            if (due <= m_now)
                action();
            else
                m_actions.emplace_back(due, std::move(action));
        }
    }

    [[nodiscard]] std::size_t pending() const noexcept { return m_actions.size(); }

private:
    TimePoint m_now{ seconds(1000) };
    std::vector<std::pair<TimePoint, std::function<void()>>> m_actions;
};

struct Fixture
{
    [[nodiscard]] std::ptrdiff_t lines() const
    {
        return std::count(log.buffered().begin(), log.buffered().end(), '\n');
    }

    ManualTimers timers;
    EventLog log{ -1, "test" };
    Metrics metrics;
    HttpLimitLog limitLog{ log, metrics, timers };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(httplimitlog, Fixture)

/// Guards against a log that hostile clients can fill, and against limits that nobody sees.
BOOST_AUTO_TEST_CASE(writesOneLinePerSecondAndKindWithTheNumber)
{
    for (int i = 0; i < 1000; ++i)
        limitLog.record("front", HttpLimit::HeaderBytes);
    BOOST_TEST(lines() == 1);
    timers.advance(milliseconds(999));
    BOOST_TEST(lines() == 1);
    timers.advance(milliseconds(1));
    BOOST_TEST(lines() == 2);
    BOOST_TEST(log.buffered().find("\"connections\":999") != std::string::npos);
    BOOST_TEST(log.buffered().find("\"limit\":\"headerBytes\"") != std::string::npos);
    BOOST_TEST(log.buffered().find("\"server\":\"front\"") != std::string::npos);
    BOOST_TEST(metrics.counter("http.front.headerBytes") == 1000U);
}

BOOST_AUTO_TEST_CASE(writesTheLinesOfEachKindAndNoTimerRunsWithoutEvents)
{
    limitLog.record("front", HttpLimit::HeaderBytes);
    limitLog.record("front", HttpLimit::Connections);
    limitLog.record("control", HttpLimit::HeaderBytes);
    BOOST_TEST(lines() == 3);
    BOOST_TEST(timers.pending() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
