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

std::uint32_t runningTasks(World &world, std::uint32_t workers)
{
    std::int64_t held = 0;
    for (std::uint32_t worker = 0; worker < workers; ++worker)
        held += world.worker(worker).held().cpuMillis;
    return static_cast<std::uint32_t>(held / batch(1).spec.steps.front().amount.cpuMillis);
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

/// Lasting tasks that fail from time to time put no sound worker into quarantine.
BOOST_AUTO_TEST_CASE(failuresOfLastingTasksDoNotExcludeAllWorkers)
{
    constexpr std::uint32_t jobs = 6;
    constexpr std::uint32_t tasksPerJob = 3;
    World::Settings settings;
    settings.workerCapacity = { 32000, 65536, 0 };
    World world(settings);
    world.run(startTime);
    for (std::uint32_t job = 1; job <= jobs; ++job) {
        auto plan = lasting(tasksPerJob, seconds(9 + job));
        plan.spec.steps.front().maxPerWorker = 1;
        plan.failingRuns = everyRun();
        world.submit(0, jobId(job), plan);
    }
    world.run(seconds(5));
    for (int second = 0; second < 90; ++second) {
        world.run(seconds(1));
        BOOST_TEST(runningTasks(world, settings.workers) >= jobs * tasksPerJob - tasksPerJob);
    }
    expectNoViolations(world);
}

/// Tasks that fail at once for a fault of their own may exclude only a part of the workers.
BOOST_AUTO_TEST_CASE(workersStayUsableWhenTasksOfManyJobsFail)
{
    World world({});
    world.run(startTime);
    for (std::uint32_t job = 1; job <= 40; ++job) {
        auto plan = batch(4, milliseconds(100));
        plan.failingRuns = everyRun();
        world.submit(0, jobId(job), plan);
    }
    world.run(milliseconds(1500));
    for (std::uint32_t job = 41; job <= 50; ++job)
        world.submit(0, jobId(job), batch(1, milliseconds(100)));
    world.run(seconds(2));
    for (std::uint32_t job = 41; job <= 50; ++job)
        BOOST_TEST((world.status(1, jobId(job)) == JobStatus::Completed), jobId(job));
    expectNoViolations(world);
}

BOOST_AUTO_TEST_SUITE_END()
