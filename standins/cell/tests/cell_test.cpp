#include "testjobs.h"

#include <boost/test/unit_test.hpp>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using cell::JobStatus;
using cell::SubmitResult;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(cell_suite)

BOOST_AUTO_TEST_CASE(completesEachKindOfJob)
{
    World world({});
    world.run(startTime);
    BOOST_REQUIRE(world.owner());
    world.submit(0, jobId(1), batch(5));
    world.submit(1, jobId(2), gang(4));
    world.submit(2, jobId(3), chain(3));
    world.run(seconds(4));
    expectCompleted(world, 0, 3);
    BOOST_TEST(world.guarantees().starts() == 15U);
}

BOOST_AUTO_TEST_CASE(acceptsAJobOnceWhenItIsSentAgain)
{
    World world({});
    world.run(startTime);
    std::optional<SubmitResult> first;
    std::optional<SubmitResult> second;
    world.submit(0, jobId(1), batch(2), &first);
    world.submit(1, jobId(1), batch(2), &second);
    world.run(seconds(3));
    BOOST_TEST((first == SubmitResult::Accepted));
    BOOST_TEST((second == SubmitResult::Accepted));
    BOOST_TEST(world.guarantees().starts() == 2U);
    expectNoViolations(world);
}

BOOST_AUTO_TEST_CASE(reportsAnUnknownJob)
{
    World world({});
    world.run(startTime);
    BOOST_TEST(!world.status(0, jobId(77)).has_value());
}

BOOST_AUTO_TEST_CASE(failsAJobAfterAllItsAttempts)
{
    World world({});
    world.run(startTime);
    auto plan = batch(1);
    plan.failingRuns = { 1, 2, 3 };
    world.submit(0, jobId(1), plan);
    world.run(seconds(4));
    BOOST_TEST((world.status(0, jobId(1)) == JobStatus::Failed));
    BOOST_TEST(world.guarantees().starts() == 2U);
    expectNoViolations(world);
}

BOOST_AUTO_TEST_CASE(triesAgainAfterOneFailure)
{
    World world({});
    world.run(startTime);
    auto plan = batch(1);
    plan.failingRuns = { 1 };
    world.submit(0, jobId(1), plan);
    world.run(seconds(4));
    BOOST_TEST((world.status(1, jobId(1)) == JobStatus::Completed));
    expectNoViolations(world);
}

BOOST_AUTO_TEST_CASE(stopsWhatACancelledJobRuns)
{
    World world({});
    world.run(startTime);
    world.submit(0, jobId(1), batch(4, seconds(30)));
    world.run(seconds(1));
    world.cancel(1, jobId(1));
    world.run(seconds(2));
    BOOST_TEST((world.status(0, jobId(1)) == JobStatus::Cancelled));
    for (std::uint32_t worker = 0; worker < 6; ++worker)
        BOOST_TEST(world.worker(worker).present({ jobId(1), 0, 0, 0 }, 1) == 0U);
    expectNoViolations(world);
}

BOOST_AUTO_TEST_CASE(neverFillsAWorkerBeyondItsCapacity)
{
    World world({});
    world.run(startTime);
    // Each of the six workers has capacity for four tasks.
    for (std::uint32_t job = 1; job <= 12; ++job)
        world.submit(job % 3, jobId(job), batch(6));
    world.run(seconds(20));
    expectCompleted(world, 0, 12);
}

BOOST_AUTO_TEST_CASE(startsOnlyWhereThePolicyServiceAllows)
{
    World::Settings settings;
    settings.advice = true;
    World world(settings);
    world.run(startTime);
    for (std::uint32_t job = 1; job <= 5; ++job)
        world.submit(job % 3, jobId(job), job % 2 == 0 ? gang(3) : batch(3));
    world.run(seconds(12));
    expectCompleted(world, 0, 5);
}

BOOST_AUTO_TEST_CASE(reportsTheEndOfAJobAfterAnOwnerChange)
{
    World world({});
    world.run(startTime);
    world.submit(0, jobId(1), batch(2));
    world.run(seconds(3));
    // The job's records have been removed; only its outcome is stored.
    BOOST_TEST(!world.store().read("cowsliprock/job/0/" + jobId(1)).has_value());
    BOOST_TEST(!world.store().read("cowsliprock/state/0/" + jobId(1)).has_value());
    world.kill(*world.owner());
    world.run(seconds(4));
    const auto node = *world.owner();
    BOOST_TEST((world.status(node, jobId(1)) == JobStatus::Completed));
    std::optional<SubmitResult> again;
    world.submit(node, jobId(1), batch(2), &again);
    world.cancel(node, jobId(1));
    world.run(seconds(3));
    BOOST_TEST((again == SubmitResult::Accepted));
    BOOST_TEST(world.guarantees().starts() == 2U);
    BOOST_TEST((world.status(node, jobId(1)) == JobStatus::Completed));
    expectNoViolations(world);
}

BOOST_AUTO_TEST_CASE(handsOverWithoutStoppingATask)
{
    World world({});
    world.run(startTime);
    world.submit(0, jobId(1), batch(4, seconds(4)));
    world.run(seconds(1));
    const auto before = world.owner();
    BOOST_REQUIRE(before);
    world.terminate(*before);
    world.run(milliseconds(800));
    BOOST_REQUIRE(world.owner());
    BOOST_TEST(*world.owner() != *before);
    world.run(seconds(5));
    BOOST_TEST((world.status(*world.owner(), jobId(1)) == JobStatus::Completed));
    BOOST_TEST(world.guarantees().starts() == 4U);
    expectNoViolations(world);
}

BOOST_AUTO_TEST_CASE(givesADrainingWorkerNoNewTask)
{
    World world({});
    world.run(startTime);
    world.drainWorker(0);
    world.drainWorker(1);
    world.run(milliseconds(100));
    for (std::uint32_t job = 1; job <= 8; ++job)
        world.submit(0, jobId(job), batch(4));
    for (int step = 0; step < 40; ++step) {
        world.run(milliseconds(100));
        for (std::uint32_t job = 1; job <= 8; ++job) {
            BOOST_TEST(world.worker(0).present({ jobId(job), 0, 0, 0 }, 1) == 0U);
            BOOST_TEST(world.worker(1).present({ jobId(job), 0, 0, 0 }, 1) == 0U);
        }
    }
    BOOST_TEST((world.status(1, jobId(8)) == JobStatus::Completed));
    expectNoViolations(world);
}

BOOST_AUTO_TEST_CASE(newConfigurationReachesANodeWithoutTheStore)
{
    World world({});
    world.run(startTime);
    const auto node = follower(world);
    world.setStoreFault(node, StoreFault::Refuse);
    world.run(milliseconds(500));
    world.changeConfiguration();
    world.run(milliseconds(200));
    for (std::uint32_t other = 0; other < 3; ++other) {
        if (other != node)
            BOOST_TEST(world.configurationOf(other) == 2U);
    }
    world.run(seconds(6));
    BOOST_TEST(world.configurationOf(node) == 2U);
}

BOOST_AUTO_TEST_CASE(configurationOfTheStoreIsInForceWithinTwoSecondsAfterSilence)
{
    World world({});
    world.run(startTime);
    world.setStoreFaultForAll(StoreFault::Silent);
    world.run(seconds(3));
    world.changeConfiguration();
    world.setStoreFaultForAll(StoreFault::None);
    world.run(milliseconds(2500));
    for (std::uint32_t node = 0; node < 3; ++node)
        BOOST_TEST(world.configurationOf(node) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
