#include <workerspeeds.h>

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>
#include <string>
#include <vector>

using namespace cowsliprock;
using namespace cowsliprock::cell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double longTaskShare = 0.03;
constexpr double longTaskFactor = 7;

/// Steps of urgent jobs and of batch jobs on workers of the given speeds, with the rates and draws
/// of a cell of 350 workers.
class Load
{
public:
    Load(std::vector<double> speeds, std::uint32_t seed)
        : m_speeds(std::move(speeds))
        , m_random(seed)
    {
        m_names.reserve(m_speeds.size());
        for (std::size_t worker = 0; worker < m_speeds.size(); ++worker)
            m_names.push_back("w" + std::to_string(worker));
    }

    void run(seconds time)
    {
        const auto share = static_cast<double>(m_speeds.size()) / 350;
        for (int tick = 0; tick < time / milliseconds(100); ++tick) {
            m_now += milliseconds(100);
            runSteps(9.7 * share, 3, 0.68, 0.3);
            runSteps(1.2 * share, 25, 1.9, 0.15);
            estimates.assess(m_now);
        }
    }

    [[nodiscard]] double shareWithin(double tolerance) const
    {
        double mean = 0;
        for (const double speed : m_speeds)
            mean += speed / static_cast<double>(m_speeds.size());
        std::size_t within = 0;
        for (std::size_t worker = 0; worker < m_speeds.size(); ++worker) {
            const double estimated = estimates.speed(m_names[worker]) * mean;
            within += std::abs(estimated / m_speeds[worker] - 1) <= tolerance ? 1 : 0;
        }
        return static_cast<double>(within) / static_cast<double>(m_speeds.size());
    }

    void setSpeed(std::size_t worker, double speed) { m_speeds[worker] = speed; }
    [[nodiscard]] double estimateOf(std::size_t worker) const
    {
        return estimates.speed(m_names[worker]);
    }

    WorkerSpeeds estimates;

private:
    void runSteps(double mean, int tasks, double work, double spread)
    {
        const int steps = std::poisson_distribution<int>(mean)(m_random);
        for (int step = 0; step < steps; ++step)
            runStep(tasks, work, spread);
    }

    void runStep(int tasks, double work, double spread)
    {
        std::uniform_int_distribution<std::size_t> worker(0, m_speeds.size() - 1);
        std::uniform_real_distribution<double> size(0.1, 1.9);
        std::lognormal_distribution<double> draw(0, spread);
        std::bernoulli_distribution isLong(longTaskShare);
        work *= size(m_random);
        std::vector<RunTime> runs;
        for (int task = 0; task < tasks; ++task) {
            const auto chosen = worker(m_random);
            const double time =
                work * draw(m_random) * (isLong(m_random) ? longTaskFactor : 1) / m_speeds[chosen];
            runs.push_back(
                { &m_names[chosen],
                  std::chrono::duration_cast<Duration>(std::chrono::duration<double>(time)),
                  true });
        }
        estimates.compare(runs, m_now);
    }

    std::vector<double> m_speeds;
    std::vector<std::string> m_names;
    std::mt19937 m_random;
    TimePoint m_now{};
};

std::vector<double> unlikeSpeeds(std::size_t workers)
{
    std::vector<double> speeds;
    for (std::size_t worker = 0; worker < workers; ++worker)
        speeds.push_back(worker % 3 == 2 ? 1.7 : 0.7);
    return speeds;
}

} // namespace

BOOST_AUTO_TEST_SUITE(workerspeeds)

/// Guards against estimates that the sizes of the tasks or wrong estimates of submitters distort.
BOOST_AUTO_TEST_CASE(speedsAreKnownAfterTenSeconds)
{
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        Load load(unlikeSpeeds(350), seed);
        load.run(seconds(10));
        BOOST_TEST(load.estimates.heterogeneous());
        BOOST_TEST(load.shareWithin(0.2) >= 0.9);
        BOOST_TEST_MESSAGE("within 20 percent: " << load.shareWithin(0.2)
                                                 << ", spread: " << load.estimates.spread());
    }
}

/// Guards against a change of placement on like workers because of a few long tasks.
BOOST_AUTO_TEST_CASE(noiseIsNoProofOfUnlikeSpeeds)
{
    for (const std::size_t workers : { 6U, 24U, 350U }) {
        for (std::uint32_t seed = 1; seed <= 5; ++seed) {
            Load load(std::vector<double>(workers, 1.0), seed);
            for (int second = 0; second < 120; ++second) {
                load.run(seconds(1));
                BOOST_REQUIRE(!load.estimates.heterogeneous());
            }
        }
    }
}

/// Guards against an estimate that outlives the state of its worker.
BOOST_AUTO_TEST_CASE(changeOfSpeedIsFollowed)
{
    Load load(unlikeSpeeds(350), 1);
    load.run(seconds(20));
    BOOST_TEST(load.estimateOf(2) > 1.3);
    load.setSpeed(2, 0.3);
    load.run(seconds(20));
    BOOST_TEST(load.estimateOf(2) < 0.6);
}

/// Guards against evidence from tasks that shared one worker.
BOOST_AUTO_TEST_CASE(runsOfOneWorkerAreNotCompared)
{
    const std::string name = "w";
    WorkerSpeeds speeds;
    speeds.compare({ { &name, seconds(1), true }, { &name, seconds(7), true } }, {});
    BOOST_TEST(speeds.evidence(name) == 0.0);
}

/// Guards against groups of workers that drift apart because they never run the same step.
BOOST_AUTO_TEST_CASE(separateGroupsOfWorkersStayAlike)
{
    std::vector<std::string> names;
    names.reserve(40);
    for (int worker = 0; worker < 40; ++worker)
        names.push_back("w" + std::to_string(worker));
    std::mt19937 random(1);
    std::lognormal_distribution<double> draw(0, 0.3);
    WorkerSpeeds speeds;
    TimePoint now{};
    for (std::size_t step = 0; step < 40000; ++step) {
        now += milliseconds(20);
        std::uniform_int_distribution<std::size_t> member(0, 19);
        std::vector<RunTime> runs;
        for (int task = 0; task < 4; ++task) {
            const auto time = std::chrono::duration<double>(draw(random));
            runs.push_back({ &names[member(random) + (step % 2) * 20],
                             std::chrono::duration_cast<Duration>(time), true });
        }
        speeds.compare(runs, now);
        if (step % 25 == 0)
            speeds.assess(now);
        BOOST_REQUIRE(!speeds.heterogeneous());
    }
}

BOOST_AUTO_TEST_SUITE_END()
