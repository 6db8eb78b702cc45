#include "testjobs.h"

#include <jobtable.h>
#include <keys.h>

#include <boost/test/unit_test.hpp>

#include <set>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using cell::JobStatus;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

World::JobPlan lasting(std::uint32_t count, Duration work)
{
    auto plan = batch(count, work);
    plan.spec.steps.front().longRunning = true;
    return plan;
}

/// All starts of a task fail.
std::set<std::uint32_t> everyRun()
{
    std::set<std::uint32_t> runs;
    for (std::uint32_t run = 1; run <= 1000; ++run)
        runs.insert(run);
    return runs;
}

} // namespace

/// Tasks that last run until their job is cancelled.
BOOST_AUTO_TEST_SUITE(lastingtasks)

BOOST_AUTO_TEST_CASE(lastingTaskThatEndsDoneIsStartedAgain)
{
    World world({});
    world.run(startTime);
    world.submit(0, jobId(1), lasting(1, seconds(1)));
    world.run(seconds(8));
    BOOST_TEST(world.guarantees().starts() >= 5U);
    BOOST_TEST((world.status(1, jobId(1)) == JobStatus::Running));
    expectNoViolations(world);
}

BOOST_AUTO_TEST_CASE(lastingGangThatEndsDoneIsStartedAgain)
{
    World world({});
    world.run(startTime);
    auto plan = lasting(3, seconds(1));
    plan.spec.steps.front().gang = true;
    world.submit(0, jobId(1), plan);
    world.run(seconds(8));
    BOOST_TEST(world.guarantees().starts() >= 9U);
    BOOST_TEST((world.status(1, jobId(1)) == JobStatus::Running));
    expectNoViolations(world);
}

/// An earlier version recorded such an end as the completion of the task.
BOOST_AUTO_TEST_CASE(lastingTaskRecordedAsDoneIsStartedAgain)
{
    cell::JobRecord record;
    record.id = jobId(1);
    record.spec = lasting(2, seconds(1)).spec;
    cell::JobProgress progress;
    progress.status = JobStatus::Running;
    cell::OccurrenceProgress occurrence;
    occurrence.steps.resize(1);
    occurrence.steps.front().done = { true, false };
    progress.occurrences.push_back(occurrence);
    const auto job = cell::makeJob(record, 1, TimePoint(), progress);
    BOOST_TEST(job.occurrences.at(0).steps.front().waitingCount == 2U);
}

/// The store limits the size of a value, and a record that it refuses blocks those of other jobs.
BOOST_AUTO_TEST_CASE(recordOfALastingTaskDoesNotGrowWithItsFailures)
{
    World world({});
    world.run(startTime);
    auto plan = lasting(1, milliseconds(20));
    plan.failingRuns = everyRun();
    world.submit(0, jobId(1), plan);
    const auto recordSize = [&world] {
        const auto item = world.store().read(cell::keys::state(0, jobId(1)));
        return item ? item->value.size() : 0;
    };
    world.run(seconds(5));
    const auto size = recordSize();
    const auto starts = world.guarantees().starts();
    world.run(seconds(15));
    BOOST_TEST(world.guarantees().starts() >= starts + 20);
    constexpr std::size_t runDigits = 10;
    BOOST_TEST(recordSize() <= size + runDigits);
    expectNoViolations(world);
}

BOOST_AUTO_TEST_SUITE_END()
