#include "world.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace cowsliprock;
using namespace cowsliprock::test;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

Configuration configuration()
{
    Configuration result;
    result.version = 1;
    result.teams.push_back({ "care", { 1'000'000, 4'000'000, 100 } });
    result.teams.push_back({ "small", { 4'000, 16'000, 0 } });
    result.policies.push_back({ "pack", "packing" });
    result.policies.push_back({ "spread", "latency" });
    ServiceDefinition service;
    service.name = "moss-planner";
    service.slots = 5;
    service.connections = 40;
    result.services.push_back(service);
    JobDefinition planner;
    planner.name = "planner";
    planner.team = "care";
    planner.kind = JobKind::Service;
    planner.service = "moss-planner";
    planner.taskCount = 4;
    planner.perTask = { 2'000, 4'000, 0 };
    result.jobs.push_back(planner);
    return result;
}

std::string job(const json &changes = json::object())
{
    json result{ { "name", "sweep" },
                 { "team", "care" },
                 { "policy", "pack" },
                 { "taskCount", 4 },
                 { "perTask", { { "cpuMillis", 2'000 }, { "memoryMb", 2'000 } } },
                 { "expectedRunTimeMs", 3'000 } };
    result.update(changes);
    return result.dump();
}

JobId submitted(const World::Answer &answer)
{
    BOOST_REQUIRE_MESSAGE(answer.httpStatus == 202, answer.httpStatus << " " << answer.body);
    return JobId(json::parse(answer.body).at("id").get<std::string>());
}

std::string idBody(const JobId &id)
{
    return json{ { "id", id.value() } }.dump();
}

std::string stateOf(World &world, const JobId &id)
{
    return json::parse(world.ask(1, "status", idBody(id)).body).value("state", "none");
}

} // namespace

BOOST_AUTO_TEST_CASE(batchJobRunsToItsEnd)
{
    World world({});
    world.setConfiguration(configuration());
    world.run(1s);
    const JobId id = submitted(world.ask(0, "submit", job()));
    world.run(1s);
    BOOST_TEST(stateOf(world, id) == "running");
    world.run(15s);
    BOOST_TEST(stateOf(world, id) == "succeeded");
    BOOST_TEST(world.violations().empty());
}

// Guards against instances that are not replaced, and against launches that lack what the
// configuration says of the service.
BOOST_AUTO_TEST_CASE(serviceKeepsItsInstancesRunning)
{
    World world({});
    world.setConfiguration(configuration());
    world.run(1s);
    const JobId id = submitted(world.ask(0, "submit", R"({"name": "planner"})"));
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
