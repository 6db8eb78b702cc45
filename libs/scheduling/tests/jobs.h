#pragma once

#include "world.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <string>

namespace cowsliprock::test {

using nlohmann::json;

/// Returns a configuration with two teams, two policies, a service and a job of that service.
[[nodiscard]] inline Configuration testConfiguration()
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

/// Returns the body of a submission of four tasks with two processors and 3 s run time each,
/// with \p changes applied.
[[nodiscard]] inline std::string jobBody(const json &changes = json::object())
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

[[nodiscard]] inline std::string idBody(const JobId &id)
{
    return json{ { "id", id.value() } }.dump();
}

/// Returns the job id of a submit answer. Requires that the job was accepted.
[[nodiscard]] inline JobId submittedId(const World::Answer &answer)
{
    BOOST_REQUIRE_MESSAGE(answer.httpStatus == 202, answer.httpStatus << " " << answer.body);
    return JobId(json::parse(answer.body).at("id").get<std::string>());
}

[[nodiscard]] inline json statusOf(World &world, const JobId &id)
{
    return json::parse(world.ask(world.daemons() - 1, "status", idBody(id)).body);
}

} // namespace cowsliprock::test
