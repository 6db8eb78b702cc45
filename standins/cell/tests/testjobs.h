#pragma once

#include <standincell/world.h>

#include <boost/test/unit_test.hpp>

#include <string>

namespace cowsliprock::standincell {

/// A job with one step of \p count tasks that take a quarter of a worker each.
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

/// Two steps, the second after the first.
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

/// Time in which the nodes agree on an owner.
constexpr std::chrono::seconds startTime{ 3 };

/// Fails the test with every broken promise.
inline void checkPromises(World &world)
{
    for (const auto &line : world.promises().broken())
        BOOST_ERROR(line);
}

/// Fails the test unless a node shows the jobs from the first one on as completed, and with every
/// broken promise.
inline void expectCompleted(World &world, std::uint32_t node, std::uint32_t jobs)
{
    for (std::uint32_t job = 1; job <= jobs; ++job)
        BOOST_TEST((world.status(node, jobId(job)) == cell::JobStatus::Completed), jobId(job));
    checkPromises(world);
}

/// Any node but the owner of the shard.
inline std::uint32_t follower(const World &world)
{
    return world.owner().value_or(0) == 0 ? 1 : 0;
}

} // namespace cowsliprock::standincell
