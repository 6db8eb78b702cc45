#include "testjobs.h"

#include <stragglers.h>
#include <workertable.h>

#include <boost/test/unit_test.hpp>

#include <array>
#include <vector>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using cell::JobStatus;
using cell::RunProgress;
using cell::StepPace;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Progress that an inventory lists for a run of \p work on a worker \p slowness times slower.
RunProgress progressOf(Duration work, int slowness, Duration elapsed)
{
    const auto percent = 100 * elapsed / (work * slowness);
    return { elapsed, static_cast<std::uint32_t>(std::min<std::int64_t>(percent, 100)),
             Duration::zero() };
}

/// Submits \p count jobs and returns how many complete within \p time after the last submission.
std::uint32_t endedInTime(World &world, std::uint32_t node, std::uint32_t first,
                          std::uint32_t count, const World::JobPlan &plan, Duration time)
{
    std::vector<std::optional<JobStatus>> states(count);
    for (std::uint32_t job = 0; job < count; ++job) {
        world.submit(node, jobId(first + job), plan);
        world.run(milliseconds(100));
    }
    world.run(time);
    std::uint32_t ended = 0;
    for (std::uint32_t job = 0; job < count; ++job)
        ended += world.status(node, jobId(first + job)) == JobStatus::Completed ? 1 : 0;
    return ended;
}

} // namespace

/// Runs on slow or stalled workers.
BOOST_AUTO_TEST_SUITE(stragglers)

BOOST_AUTO_TEST_CASE(runOnAHealthyWorkerIsNoStraggler)
{
    // The estimate ranges from a quarter to twice the actual work.
    for (const auto work : { milliseconds(500), milliseconds(1000), milliseconds(20000) }) {
        for (const int percentOfWork : { 25, 50, 100, 200 }) {
            const StepPace pace{ work * percentOfWork / 100, {} };
            for (Duration elapsed = milliseconds(50); elapsed < work; elapsed += milliseconds(50)) {
                BOOST_TEST(!isStraggler(progressOf(work, 1, elapsed), pace, false));
                BOOST_TEST(!isStraggler(progressOf(work, 1, elapsed), pace, true));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(unevenSiblingsAreNoStragglers)
{
    const StepPace pace{ seconds(1), { seconds(1), milliseconds(900), milliseconds(1100) } };
    for (Duration elapsed = milliseconds(50); elapsed < seconds(2); elapsed += milliseconds(50))
        BOOST_TEST(!isStraggler(progressOf(seconds(2), 1, elapsed), pace, true));
}

BOOST_AUTO_TEST_CASE(runOnAMuchSlowerWorkerIsFoundEarly)
{
    const StepPace alone{ seconds(1), {} };
    BOOST_TEST(isStraggler(progressOf(seconds(1), 7, milliseconds(900)), alone, false));
    // Run times of siblings on other workers take precedence over the estimate.
    const StepPace four{ seconds(4), {} };
    BOOST_TEST(!isStraggler(progressOf(seconds(1), 5, milliseconds(900)), four, false));
    const StepPace known{ seconds(4), { seconds(1), seconds(1) } };
    BOOST_TEST(isStraggler(progressOf(seconds(1), 5, milliseconds(900)), known, false));
}

BOOST_AUTO_TEST_CASE(moveRequiresSufficientGain)
{
    const StepPace pace{ seconds(1), { seconds(1), seconds(1) } };
    // Nearly done: it completes before a new run elsewhere could.
    BOOST_TEST(!isStraggler({ seconds(4), 80, {} }, pace, false));
    // The same worker with more work remaining.
    BOOST_TEST(isStraggler({ seconds(4), 40, {} }, pace, false));
    // A checkpoint reduces the cost of a move.
    const StepPace longer{ seconds(10), { seconds(10), seconds(10) } };
    BOOST_TEST(!isStraggler({ seconds(36), 90, {} }, longer, false));
    BOOST_TEST(isStraggler({ seconds(36), 90, {} }, longer, true));
}

BOOST_AUTO_TEST_CASE(stalledRunIsAStraggler)
{
    const StepPace pace{ seconds(1), {} };
    BOOST_TEST(!isStraggler({ milliseconds(300), 0, milliseconds(300) }, pace, false));
    BOOST_TEST(isStraggler({ milliseconds(900), 0, milliseconds(900) }, pace, false));
    BOOST_TEST(isStraggler({ seconds(2), 60, milliseconds(800) }, pace, false));
    // A long task may report the same percentage for some time.
    BOOST_TEST(
        !cell::isStraggler({ seconds(9), 15, milliseconds(800) }, { seconds(60), {} }, false));
}

/// Guards against the restart of a run that is as slow as its worker is known to be.
BOOST_AUTO_TEST_CASE(knownSpeedExplainsASlowRun)
{
    StepPace pace{ seconds(1), { seconds(1), seconds(1) } };
    BOOST_TEST(isStraggler(progressOf(seconds(1), 4, milliseconds(900)), pace, false));
    pace.speed = 0.4;
    BOOST_TEST(!isStraggler(progressOf(seconds(1), 4, milliseconds(900)), pace, false));
    BOOST_TEST(isStraggler(progressOf(seconds(1), 10, milliseconds(900)), pace, false));
}

/// Guards against the restart of a long task, which loses the work of its first run.
BOOST_AUTO_TEST_CASE(otherTasksShowWhetherTheWorkerIsSlow)
{
    const cell::SpeedEvidence nothing{};
    const cell::SpeedEvidence sound{ 10, 1 };
    const cell::SpeedEvidence slow{ 10, 0.3 };
    BOOST_TEST(!isSlowByOthers({ 0, 0 }, nothing));
    BOOST_TEST(!isSlowByOthers({ 1, 0 }, nothing));
    BOOST_TEST(!isSlowByOthers({ 7, 2 }, nothing));
    BOOST_TEST(!isSlowByOthers({ 1, 1 }, sound));
    BOOST_TEST(isSlowByOthers({ 0, 0 }, slow));
    BOOST_TEST(isSlowByOthers({ 1, 1 }, nothing));
    // A sound worker has become slow.
    BOOST_TEST(isSlowByOthers({ 4, 3 }, sound));
}

BOOST_AUTO_TEST_CASE(manySlowWorkersAreNotExcluded)
{
    BOOST_TEST(cell::mayExcludeWorker(0, 3));
    BOOST_TEST(!cell::mayExcludeWorker(1, 3));
    BOOST_TEST(cell::mayExcludeWorker(15, 48));
    BOOST_TEST(!cell::mayExcludeWorker(16, 48));
}

BOOST_AUTO_TEST_CASE(callersOfASlowCellAreServedInTime)
{
    // One sixth of the workers is seven times slower, or stalled.
    for (const double speed : { 1.0 / 7, 0.0 }) {
        World::Settings settings;
        settings.workers = 18;
        World world(settings);
        world.run(startTime);
        const auto node = follower(world);
        for (std::uint32_t worker = 0; worker < 3; ++worker)
            world.setWorkerSpeed(worker, speed);
        auto plan = batch(6, seconds(1));
        BOOST_TEST(endedInTime(world, node, 1, 20, plan, seconds(4)) >= 19U);
        for (std::uint32_t worker = 0; worker < 3; ++worker)
            world.setWorkerSpeed(worker, 1);
        world.run(seconds(6));
        expectNoViolations(world);
    }
}

/// Guards against long tasks that are restarted and against the exclusion of their workers.
BOOST_AUTO_TEST_CASE(longTasksOnSoundWorkersAreLeftAlone)
{
    World::Settings settings;
    settings.workers = 18;
    World world(settings);
    world.run(startTime);
    auto plan = batch(6, seconds(1));
    plan.taskSpread = 0.2;
    plan.longTaskShare = 0.03;
    BOOST_TEST(endedInTime(world, follower(world), 1, 40, plan, seconds(10)) == 40U);
    const auto owner = world.owner().value();
    BOOST_TEST(world.counterOf(owner, "tasks.long") > 0U);
    BOOST_TEST(world.counterOf(owner, "workers.slow") == 0U);
    BOOST_TEST(world.counterOf(owner, "runs.stopped") == 0U);
    expectNoViolations(world);
}

BOOST_AUTO_TEST_CASE(copyRunsBesideARunOnASilentWorkerWhereThatIsAllowed)
{
    World world({});
    world.run(startTime);
    const auto node = follower(world);
    auto plan = batch(6, seconds(2));
    plan.spec.steps.front().speculative = true;
    world.submit(node, jobId(1), plan);
    world.run(milliseconds(700));
    for (std::uint32_t worker = 0; worker < 3; ++worker)
        world.isolateWorker(worker, true);
    // Well before any lease expires.
    world.run(milliseconds(3800));
    BOOST_TEST((world.status(node, jobId(1)) == JobStatus::Completed));
    for (std::uint32_t worker = 0; worker < 3; ++worker)
        world.isolateWorker(worker, false);
    world.run(seconds(8));
    expectNoViolations(world);
}

BOOST_AUTO_TEST_SUITE_END()
