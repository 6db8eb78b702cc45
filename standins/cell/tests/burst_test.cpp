#include "testjobs.h"

#include <standincell/decisionload.h>

#include <boost/test/unit_test.hpp>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

namespace {

/// Without CPU costs all jobs of the load complete in time.
constexpr double minInTimeShare = 0.95;

World::JobPlan ofQueue(World::JobPlan plan, const char *queue)
{
    plan.queue = queue;
    return plan;
}

cell::QueueSettings queue(const char *name, std::uint32_t priority)
{
    cell::QueueSettings settings;
    settings.name = name;
    settings.host = "h";
    settings.prefix = std::string("/") + name + "/";
    settings.service = "s";
    settings.priority = priority;
    settings.maxAttempts = 2;
    settings.extension = 2.0;
    settings.targetRuntime = seconds(5);
    settings.timeout = seconds(3);
    settings.advice = cell::AdviceSettings{ milliseconds(8), milliseconds(0), seconds(2) };
    return settings;
}

} // namespace

/// Bursts of jobs on an owner whose CPU is slow relative to the size of the cell.
BOOST_AUTO_TEST_SUITE(burst)

BOOST_AUTO_TEST_CASE(slowPassesDelayNoJobWhileThereIsCapacity)
{
    for (const std::uint32_t seed : { 1U, 2U, 3U }) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            const auto outcomes = simulateBurstOnLargeCell({ .nodes = 20,
                                                             .workers = 600,
                                                             .eventCost = microseconds(100),
                                                             .inspectionCost = nanoseconds(12000),
                                                             .seed = seed });
            for (const auto &[kind, outcome] : outcomes)
                BOOST_TEST(outcome.inTimeShare() >= minInTimeShare, kind << " " << outcome.inTime);
        }
    }
}

BOOST_AUTO_TEST_CASE(lessUrgentJobsDoNotTakeCapacityThatAnUrgentJobWaitsFor)
{
    for (const std::uint32_t seed : { 1U, 2U, 3U, 4U, 5U }) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            World::Settings settings;
            settings.workers = 1;
            settings.adviceAllowedShare = 1;
            settings.inspectionCost = milliseconds(1);
            settings.seed = seed;
            settings.queues = { queue("urgent", 0), queue("batch", 1) };
            World world(settings);
            world.run(startTime);
            const auto node = follower(world);
            std::uint32_t last = 0;
            const auto urgent = jobId(++last);
            world.submit(node, urgent, ofQueue(batch(8), "urgent"));
            world.run(milliseconds(200));
            for (int job = 0; job < 100; ++job) {
                world.submit(node, jobId(++last), ofQueue(batch(1, milliseconds(2500)), "batch"));
                world.run(milliseconds(8));
            }
            world.run(milliseconds(700));
            BOOST_TEST((world.status(node, urgent) == cell::JobStatus::Completed));
            expectNoViolations(world);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
