#pragma once

#include <standincell/world.h>

#include <keys.h>
#include <records.h>

#include <boost/test/unit_test.hpp>

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cowsliprock::standincell {

/// Job with one step of \p count tasks, each of which uses a quarter of a worker.
inline World::JobPlan batch(std::uint32_t count, Duration work = std::chrono::milliseconds(400))
{
    cell::StepSpec step;
    step.count = count;
    step.amount = { 4000, 4096, 0 };
    step.estimate = work;
    World::JobPlan plan;
    plan.work = work;
    plan.spec.spec = "text";
    plan.spec.steps.push_back(step);
    return plan;
}

inline World::JobPlan gang(std::uint32_t count, Duration work = std::chrono::milliseconds(400))
{
    auto plan = batch(count, work);
    plan.spec.steps.front().gang = true;
    return plan;
}

/// Job with two steps, the second of which depends on the first.
inline World::JobPlan chain(std::uint32_t count, Duration work = std::chrono::milliseconds(400))
{
    auto plan = batch(count, work);
    plan.spec.steps.push_back(plan.spec.steps.front());
    plan.spec.steps.back().after = { 0 };
    return plan;
}

inline std::string jobId(std::uint32_t number)
{
    auto digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
}

/// Time for the nodes to elect an owner.
constexpr std::chrono::seconds startTime{ 3 };

/// Reports every violated guarantee as a test error.
inline void expectNoViolations(World &world)
{
    for (const auto &line : world.guarantees().broken())
        BOOST_ERROR(line);
}

/// Expects a node to report jobs 1 to \p jobs as completed, and no violated guarantee.
inline void expectCompleted(World &world, std::uint32_t node, std::uint32_t jobs)
{
    for (std::uint32_t job = 1; job <= jobs; ++job)
        BOOST_TEST((world.status(node, jobId(job)) == cell::JobStatus::Completed), jobId(job));
    expectNoViolations(world);
}

/// A worker that is running tasks.
inline std::uint32_t workerInUse(World &world, std::uint32_t workers)
{
    std::uint32_t worker = 0;
    while (worker + 1 < workers && world.worker(worker).held().cpuMillis == 0)
        ++worker;
    return worker;
}

/// Nodes that may succeed the owner, as the owner has stored them.
inline std::set<std::uint32_t> successorsOf(World &world, std::uint32_t nodes)
{
    std::set<std::uint32_t> result;
    const auto item = world.store().read(cell::keys::successors(0));
    const auto record = item ? cell::decodeSuccessors(item->value) : std::nullopt;
    for (const auto &successor : record ? record->successors : std::vector<cell::Successor>()) {
        for (std::uint32_t node = 0; node < nodes; ++node) {
            if (successor.name == "node-" + std::to_string(node))
                result.insert(node);
        }
    }
    return result;
}

/// Returns a node that does not own the shard.
inline std::uint32_t follower(const World &world)
{
    return world.owner().value_or(0) == 0 ? 1 : 0;
}

/// Number of log entries of a node with this event.
inline std::size_t eventsOf(const World &world, std::uint32_t node, std::string_view event)
{
    const auto log = world.logOf(node);
    const std::string text = "\"" + std::string(event) + "\"";
    std::size_t count = 0;
    for (auto at = log.find(text); at != std::string::npos; at = log.find(text, at + 1))
        ++count;
    return count;
}

} // namespace cowsliprock::standincell
