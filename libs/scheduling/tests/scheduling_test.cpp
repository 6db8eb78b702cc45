#include "jobs.h"

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

// Guards against instances that are not replaced, and against launches that lack what the
// configuration says of the service.
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
