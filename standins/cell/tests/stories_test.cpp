#include "testjobs.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using cell::SubmitResult;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Failures reported by operators of similar systems, one test case each (docs/rules.md).
BOOST_AUTO_TEST_SUITE(regressions)

BOOST_AUTO_TEST_CASE(tasksContinueOnAWorkerUnreachableForLessThanItsLease)
{
    World world({});
    world.run(startTime);
    const auto node = follower(world);
    for (std::uint32_t job = 1; job <= 4; ++job)
        world.submit(node, jobId(job), batch(4, seconds(5)));
    world.run(seconds(1));
    const auto starts = world.guarantees().starts();
    for (std::uint32_t worker = 0; worker < 6; ++worker)
        world.isolateWorker(worker, true);
    world.run(seconds(3));
    for (std::uint32_t worker = 0; worker < 6; ++worker)
        world.isolateWorker(worker, false);
    world.run(seconds(6));
    BOOST_TEST(world.guarantees().starts() == starts);
    expectCompleted(world, node, 4);
}

BOOST_AUTO_TEST_CASE(handoverSendsNoOrderTwice)
{
    World world({});
    world.run(startTime);
    const auto node = follower(world);
    std::uint32_t jobs = 0;
    for (int round = 0; round < 6; ++round) {
        for (int count = 0; count < 3; ++count)
            world.submit(node, jobId(++jobs), batch(3, milliseconds(900)));
        world.run(milliseconds(60));
        world.terminate(*world.owner());
        world.run(milliseconds(1500));
    }
    world.run(seconds(12));
    // A task started by an owner that shuts down is adopted by its successor, not started again.
    BOOST_TEST(world.guarantees().starts() == std::size_t{ jobs } * 3);
    expectCompleted(world, node, jobs);
}

BOOST_AUTO_TEST_CASE(pausedOwnerStartsNothingUnderALostOwnership)
{
    for (const int pause : { 2, 3, 5, 8 }) {
        BOOST_TEST_CONTEXT("pause of " << pause << " s")
        {
            World world({});
            world.run(startTime);
            const auto owner = *world.owner();
            const auto node = follower(world);
            for (std::uint32_t job = 1; job <= 8; ++job)
                world.submit(node, jobId(job), chain(3, milliseconds(800)));
            world.run(milliseconds(400));
            world.freeze(owner, seconds(pause));
            world.run(seconds(1));
            // Restarted workers have no fencing token, so only the paused owner itself can hold
            // back.
            world.crashWorker(0);
            world.crashWorker(1);
            world.run(seconds(pause + 14));
            expectCompleted(world, node, 8);
        }
    }
}

BOOST_AUTO_TEST_CASE(errorInTheMiddleOfADecisionLosesNothing)
{
    World world({});
    world.run(startTime);
    const auto node = follower(world);
    for (std::uint32_t job = 1; job <= 8; ++job)
        world.submit(node, jobId(job), job % 2 == 0 ? gang(4, seconds(1)) : batch(3, seconds(1)));
    for (int round = 0; round < 4; ++round) {
        world.run(milliseconds(300));
        world.injectUnexpectedError(*world.owner());
    }
    world.run(seconds(12));
    expectCompleted(world, node, 8);
}

BOOST_AUTO_TEST_CASE(malformedEntriesAndRecordsAreIgnored)
{
    World world({});
    world.run(startTime);
    for (const std::string value : { "", "{", "null", "[]", "{\"state\":7}", "\xff\xfe" }) {
        world.store().put("servers/bad" + std::to_string(value.size()), value);
        world.store().put("cowsliprock/node/member/bad", value);
        world.store().put("cowsliprock/job/0/00000000000000aa", value);
        world.store().put("cowsliprock/roster/0", value);
        world.run(milliseconds(200));
    }
    const auto node = follower(world);
    for (std::uint32_t job = 1; job <= 4; ++job)
        world.submit(node, jobId(job), batch(3));
    world.run(seconds(1));
    // The successor reads all records again.
    world.kill(*world.owner());
    world.run(seconds(12));
    expectCompleted(world, node, 4);
}

BOOST_AUTO_TEST_CASE(workerThatLeftIsNotUsedAfterARestartOfAllDaemons)
{
    World world({});
    world.run(startTime);
    const auto node = follower(world);
    world.submit(node, jobId(1), batch(6, seconds(1)));
    world.run(seconds(2));
    // The worker has left: its entry is removed, but the roster of the last owner still lists it.
    world.isolateWorker(2, true);
    world.run(seconds(6));
    for (std::uint32_t index = 0; index < 3; ++index)
        world.kill(index);
    for (std::uint32_t index = 0; index < 3; ++index)
        world.start(index);
    world.run(seconds(10));
    const auto before = world.guarantees().startsOn("worker-2");
    for (std::uint32_t job = 2; job <= 8; ++job)
        world.submit(node, jobId(job), batch(6));
    world.run(seconds(5));
    BOOST_TEST(world.guarantees().startsOn("worker-2") == before);
    expectCompleted(world, node, 8);
}

BOOST_AUTO_TEST_CASE(configurationIsNotOlderAfterARestart)
{
    World world({});
    world.run(startTime);
    world.changeConfiguration();
    world.changeConfiguration();
    world.run(seconds(1));
    const auto newest = world.configurationOf(0);
    world.kill(0);
    // A restart must not restore an older configuration, even if the store replies late.
    world.setStoreFault(0, StoreFault::Silent);
    world.start(0);
    world.run(seconds(3));
    BOOST_TEST((world.configurationOf(0) == 0U || world.configurationOf(0) == newest));
    world.setStoreFault(0, StoreFault::None);
    world.run(seconds(3));
    BOOST_TEST(world.configurationOf(0) == newest);
}

BOOST_AUTO_TEST_CASE(answersThatAreLostChangeNeitherRunsNorReports)
{
    World world({});
    world.run(startTime);
    const auto node = follower(world);
    world.setStoreFault(node, StoreFault::LoseReply);
    std::vector<std::optional<SubmitResult>> results(6);
    for (std::uint32_t job = 1; job <= 6; ++job)
        world.submit(node, jobId(job), batch(2), &results[job - 1]);
    world.run(seconds(4));
    world.setStoreFault(node, StoreFault::None);
    // The client retries with the same job id.
    for (std::uint32_t job = 1; job <= 6; ++job)
        world.submit(node, jobId(job), batch(2), &results[job - 1]);
    world.run(seconds(6));
    for (const auto &result : results)
        BOOST_TEST((result == SubmitResult::Accepted));
    BOOST_TEST(world.guarantees().starts() == 12U);
    expectCompleted(world, node, 6);
}

BOOST_AUTO_TEST_SUITE_END()
