#include "jobs.h"

#include <algorithm>
#include <vector>

using namespace cowsliprock;
using namespace cowsliprock::test;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(batchJobRunsToItsEnd)
{
    World world({});
    world.setConfiguration(testConfiguration());
    world.run(1s);
    const JobId id = submittedId(world.ask(0, "submit", jobBody()));
    world.run(1s);
    BOOST_TEST(statusOf(world, id).at("state") == "running");
    world.run(15s);
    BOOST_TEST(statusOf(world, id).at("state") == "succeeded");
    BOOST_TEST(world.violations().empty());
}

// Guards against failed service instances that are not replaced, and against launches without the
// configured properties of the service.
BOOST_AUTO_TEST_CASE(serviceKeepsItsInstancesRunning)
{
    World world({});
    world.setConfiguration(testConfiguration());
    world.run(1s);
    const JobId id = submittedId(world.ask(0, "submit", R"({"name": "planner"})"));
    world.run(10s);
    BOOST_TEST(world.liveTasks(id) == 4);
    for (int number = 0; number < 9; ++number) {
        for (const auto &[attempt, task] : world.worker(number).tasks()) {
            BOOST_TEST(task.launch.slots == 5U);
            BOOST_TEST(task.launch.connections == 40U);
            BOOST_TEST(task.launch.service == "moss-planner");
        }
    }
    for (int number = 0; number < 5; ++number)
        world.endVm(number);
    world.run(15s);
    BOOST_TEST(world.liveTasks(id) == 4);
    BOOST_TEST(world.violations().empty());
}

// Guards against cancellation cost that grows with the number of jobs.
BOOST_AUTO_TEST_CASE(cancellationCostIsBounded)
{
    constexpr std::uint64_t jobs = 10'000;
    World world({ 1, 1, 4, 6 });
    world.setConfiguration(testConfiguration());
    world.run(2s);
    // The calls are paced to the write rate of the store.
    const auto call = [&world](const std::string &action, const std::vector<std::string> &bodies) {
        std::vector<OperationId> operations;
        for (const auto &body : bodies) {
            operations.push_back(world.call(0, action, body));
            world.run(4ms);
        }
        world.run(4s);
        return operations;
    };
    const std::string body = jobBody({ { "taskCount", 1 }, { "expectedRunTimeMs", 600'000 } });
    const auto submits = call("submit", std::vector<std::string>(jobs, body));
    std::vector<std::string> ids;
    ids.reserve(submits.size());
    for (const auto &submit : submits)
        ids.push_back(idBody(submittedId(*world.answer(submit))));
    // Running jobs are cancelled last, so that no cancellation lets another job start.
    std::reverse(ids.begin(), ids.end());
    const std::uint64_t before = world.allEffects();
    for (const auto &cancel : call("cancel", ids))
        BOOST_REQUIRE(world.answer(cancel)->httpStatus == 200);
    // Two effects per job (answer and row write), plus stop requests for the few running jobs and
    // periodic polls.
    BOOST_TEST(world.allEffects() - before <= jobs * 2 + jobs / 10);
}

// Guards against infeasible jobs that are accepted and wait indefinitely.
BOOST_AUTO_TEST_CASE(jobsThatCanNeverRunAreRefused)
{
    World world({});
    world.setConfiguration(testConfiguration());
    const json large{ { "perTask", { { "cpuMillis", 17'000 }, { "memoryMb", 1'000 } } } };
    // The worker types of other daemons are not known yet.
    BOOST_TEST(world.ask(0, "submit", jobBody(large)).httpStatus == 202);
    world.run(20s);
    const std::vector<json> infeasible{
        large,
        { { "perTask", { { "cpuMillis", 1'000 }, { "accelerators", 1 } } } },
        { { "team", "nobody" } },
        { { "policy", "nothing" } },
        { { "regions", { "atlantis" } } },
        { { "team", "small" }, { "perTask", { { "cpuMillis", 5'000 } } } },
        { { "team", "small" }, { "kind", "gang" }, { "taskCount", 3 } },
        { { "kind", "service" }, { "service", "nothing" } },
        { { "taskCount", 0 } },
        { { "unknown", 1 } },
    };
    for (const auto &changes : infeasible) {
        const auto answer = world.ask(0, "submit", jobBody(changes));
        BOOST_TEST(answer.httpStatus == 422, changes.dump() << " " << answer.body);
        BOOST_TEST(json::parse(answer.body).at("reasons").size() == 1U);
    }
    // The tasks of a batch job may run one after the other and therefore fit the quota.
    BOOST_TEST(
        world.ask(0, "submit", jobBody({ { "team", "small" }, { "taskCount", 3 } })).httpStatus
        == 202);
}

// Guards against deadlock and starvation of gangs that each reserve a part of the capacity.
BOOST_AUTO_TEST_CASE(competingGangsBothFinish)
{
    World world({ 3, 3, 6, 6 });
    world.setConfiguration(testConfiguration());
    world.run(2s);
    // Each gang requires two thirds of the fleet.
    const std::string gang = jobBody(
        { { "kind", "gang" }, { "taskCount", 8 }, { "perTask", { { "cpuMillis", 8'000 } } } });
    const OperationId first = world.call(0, "submit", gang);
    const OperationId second = world.call(1, "submit", gang);
    world.run(1s);
    const JobId firstId = submittedId(*world.answer(first));
    const JobId secondId = submittedId(*world.answer(second));
    for (int step = 0; step < 600; ++step) {
        world.run(50ms);
        const int live = world.liveTasks(firstId);
        BOOST_TEST((live == 0 || world.liveTasks(secondId) == 0));
    }
    BOOST_TEST(statusOf(world, firstId).at("state") == "succeeded");
    BOOST_TEST(statusOf(world, secondId).at("state") == "succeeded");
    BOOST_TEST(world.violations().empty());
}

// Guards against excessive ejection when many workers fail at the same time.
BOOST_AUTO_TEST_CASE(ejectionIsBounded)
{
    World world({ 1, 1, 10, 6 });
    world.setConfiguration(testConfiguration());
    for (int number = 0; number < 6; ++number)
        world.worker(number).refuses = true;
    world.run(2s);
    const JobId id = submittedId(
        world.ask(0, "submit", jobBody({ { "taskCount", 40 }, { "policy", "spread" } })));
    std::size_t maximumEjected = 0;
    for (int step = 0; step < 60; ++step) {
        world.run(1s);
        const json list = json::parse(world.ask(0, "workers", "{}").body).at("workers");
        maximumEjected = std::max(maximumEjected,
                                  static_cast<std::size_t>(std::count_if(
                                      list.begin(), list.end(), [](const json &worker) {
                                          return worker.at("state") == "ejected";
                                      })));
    }
    BOOST_TEST(maximumEjected == 2U);
    BOOST_TEST(statusOf(world, id).at("state") == "succeeded");
}

// Guards against urgent work that waits for preemptible tasks, and against preemption of tasks
// that are not preemptible.
BOOST_AUTO_TEST_CASE(urgentWorkDisplacesYieldingTasks)
{
    World world({ 1, 3, 6, 6 });
    world.setConfiguration(testConfiguration());
    world.run(2s);
    const json preemptibleJob{ { "taskCount", 8 },
                               { "perTask", { { "cpuMillis", 8'000 } } },
                               { "expectedRunTimeMs", 60'000 } };
    json nonPreemptibleJob = preemptibleJob;
    nonPreemptibleJob.update({ { "mayYield", false }, { "taskCount", 4 } });
    const JobId nonPreemptibleId = submittedId(world.ask(0, "submit", jobBody(nonPreemptibleJob)));
    const JobId preemptibleId = submittedId(world.ask(0, "submit", jobBody(preemptibleJob)));
    world.run(8s);
    BOOST_REQUIRE(world.liveTasks(nonPreemptibleId) + world.liveTasks(preemptibleId) == 12);
    const TimePoint submittedAt = world.now();
    const JobId urgentId =
        submittedId(world.ask(1, "submit",
                              jobBody({ { "priority", "urgent" },
                                        { "taskCount", 2 },
                                        { "expectedRunTimeMs", 20'000 },
                                        { "perTask", { { "cpuMillis", 9'000 } } } })));
    world.run(5'500ms - (world.now() - submittedAt));
    BOOST_TEST(world.liveTasks(urgentId) == 2);
    BOOST_TEST(world.liveTasks(nonPreemptibleId) == 4);
    BOOST_TEST(world.liveTasks(preemptibleId) >= 4);
    world.run(90s);
    BOOST_TEST(statusOf(world, preemptibleId).at("state") == "succeeded");
    BOOST_TEST(world.violations().empty());
}

// Guards against placement cost that grows with the size of the fleet.
BOOST_AUTO_TEST_CASE(candidatesOfAPlacementAreBounded)
{
    World world({ 1, 1, 400, 6 });
    world.setConfiguration(testConfiguration());
    world.run(3s);
    for (const char *policy : { "pack", "spread" })
        (void)world.ask(0, "submit", jobBody({ { "taskCount", 200 }, { "policy", policy } }));
    world.run(1s);
    const std::uint64_t placements = world.counter("scheduling.placements");
    BOOST_TEST(placements >= 400U);
    BOOST_TEST(world.counter("scheduling.candidates") <= 16 * placements);
}

// Guards against workers that are repeatedly overloaded by jobs that declare too few resources.
BOOST_AUTO_TEST_CASE(usageRaisesTheAmountHeld)
{
    World world({ 1, 1, 2, 6 });
    world.setConfiguration(testConfiguration());
    for (int number = 0; number < 2; ++number)
        world.worker(number).usedPercent = 150;
    world.run(2s);
    const auto allocated = [&world] {
        std::int64_t sum = 0;
        const json list = json::parse(world.ask(0, "workers", "{}").body);
        for (const auto &worker : list.at("workers"))
            sum += worker.at("held").at("cpuMillis").get<std::int64_t>();
        return sum;
    };
    const std::string body = jobBody({ { "expectedRunTimeMs", 40'000 } });
    (void)world.ask(0, "submit", body);
    world.run(1s);
    BOOST_TEST(allocated() == 8'000);
    world.run(60s);
    (void)world.ask(0, "submit", body);
    world.run(1s);
    BOOST_TEST(allocated() == 12'000);
}

// Guards against tasks that are started again after a take-over although they are still running.
BOOST_AUTO_TEST_CASE(runningTasksSurviveATakeOver)
{
    World world({ 5, 3, 9, 6 });
    world.setConfiguration(testConfiguration());
    world.run(2s);
    const JobId id =
        submittedId(world.ask(0, "submit", jobBody({ { "expectedRunTimeMs", 60'000 } })));
    world.run(1s);
    const std::uint64_t starts = world.effects("startTask");
    world.pause(0);
    world.run(50s);
    BOOST_TEST(world.effects("startTask") == starts);
    BOOST_TEST(world.liveTasks(id) == 4);
    BOOST_TEST(statusOf(world, id).at("state") == "running");
    world.run(30s);
    BOOST_TEST(statusOf(world, id).at("state") == "succeeded");
}

// Guards against a second attempt of an exclusive task while the first may still be running. The
// worker is isolated, so no report lists the task, and its home is taken over. Only the durable
// intent prevents the new home from starting the task again before its lease has expired.
BOOST_AUTO_TEST_CASE(exclusiveTaskStartsAgainOnlyAfterProof)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        World world({ seed, 3, 9, 6 });
        world.setConfiguration(testConfiguration());
        world.run(2s);
        const JobId id = submittedId(world.ask(0, "submit",
                                               jobBody({ { "name", "exclusive" },
                                                         { "exclusive", true },
                                                         { "expectedRunTimeMs", 60'000 } })));
        world.run(2s);
        BOOST_TEST(world.liveTasks(id) == 4);
        for (int number = 0; number < 9; ++number)
            world.worker(number).isolated = !world.worker(number).tasks().empty();
        world.pause(0);
        world.run(60s);
        BOOST_TEST(world.violations().empty(), "seed " << seed);
        for (int number = 0; number < 9; ++number)
            world.worker(number).isolated = false;
        world.resume(0);
        world.run(150s);
        BOOST_TEST(statusOf(world, id).at("state") == "succeeded", "seed " << seed);
        BOOST_TEST(world.violations().empty(), "seed " << seed);
    }
}
