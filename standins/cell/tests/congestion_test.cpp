#include "testjobs.h"

#include <boost/test/unit_test.hpp>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using cell::JobStatus;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t workerCount = 24;
/// In bytes per second; the load of these tests uses about 70% of it without faults.
constexpr double linkRate = 60000;
constexpr milliseconds jobInterval{ 100 };
constexpr std::uint32_t tasksOfAJob = 4;

World::Settings limitedLinkSettings(std::uint32_t seed)
{
    World::Settings settings;
    settings.nodes = 5;
    settings.workers = workerCount;
    settings.linkBytesPerSecond = linkRate;
    settings.seed = seed;
    return settings;
}

/// Submits jobs through one daemon at a constant rate.
class SteadyLoad
{
public:
    SteadyLoad(World &world, std::uint32_t node)
        : m_world(world)
        , m_node(node)
    { }

    void run(Duration time)
    {
        for (Duration passed{}; passed < time; passed += jobInterval) {
            m_world.submit(m_node, jobId(++m_last), batch(tasksOfAJob, milliseconds(800)));
            m_world.run(jobInterval);
        }
    }

    [[nodiscard]] std::uint32_t last() const noexcept { return m_last; }

private:
    World &m_world;
    std::uint32_t m_node;
    std::uint32_t m_last = 0;
};

std::size_t countOccurrences(const World &world, std::uint32_t node, const std::string &text)
{
    const auto log = world.logOf(node);
    std::size_t count = 0;
    for (auto at = log.find(text); at != std::string::npos; at = log.find(text, at + 1))
        ++count;
    return count;
}

} // namespace

/// Saturated links and slow replies must not cause workers to be treated as lost.
BOOST_AUTO_TEST_SUITE(congestion)

BOOST_AUTO_TEST_CASE(serviceRecoversSoonAfterASlowLink)
{
    for (const std::uint32_t seed : { 1U, 2U, 3U, 4U, 5U }) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            World world(limitedLinkSettings(seed));
            world.run(startTime);
            const auto owner = *world.owner();
            SteadyLoad load(world, follower(world));
            load.run(seconds(4));
            world.setLinkShare(0.15);
            load.run(seconds(3));
            world.setLinkShare(1);
            load.run(seconds(5));
            const auto firstAfterRecovery = load.last() + 1;
            load.run(seconds(4));
            world.run(seconds(3));
            for (std::uint32_t job = firstAfterRecovery; job <= load.last(); ++job)
                BOOST_TEST((world.status(owner, jobId(job)) == JobStatus::Completed));
            expectNoViolations(world);
        }
    }
}

BOOST_AUTO_TEST_CASE(runsOfAWorkerWithLateRepliesAreNotRestartedElsewhere)
{
    for (const std::uint32_t seed : { 1U, 2U, 3U }) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            World world(limitedLinkSettings(seed));
            world.run(startTime);
            const auto owner = *world.owner();
            SteadyLoad load(world, follower(world));
            load.run(seconds(2));
            world.setLinkShare(0.3);
            load.run(seconds(2));
            world.setLinkShare(1);
            world.run(seconds(20));
            BOOST_TEST(countOccurrences(world, owner, "run.lost") == 0U);
            BOOST_TEST(world.guarantees().starts() == std::size_t{ load.last() } * tasksOfAJob);
            for (std::uint32_t job = 1; job <= load.last(); ++job)
                BOOST_TEST((world.status(owner, jobId(job)) == JobStatus::Completed));
            expectNoViolations(world);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
