#include "testjobs.h"

#include <cell/jobdefect.h>
#include <keys.h>
#include <records.h>

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using cell::JobStatus;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Job whose step \p index depends on the step \p before.
cell::JobSpec withDependency(std::uint32_t index, std::uint32_t before)
{
    auto spec = chain(2).spec;
    spec.steps.at(index).after = { before };
    return spec;
}

/// Jobs that no owner can run, by what is wrong with them.
std::map<std::string, cell::JobSpec> jobsThatCannotRun()
{
    std::map<std::string, cell::JobSpec> specs;
    specs["no steps"].spec = "text";
    specs["empty step"] = batch(0).spec;
    specs["depends on itself"] = withDependency(0, 0);
    specs["depends on a later step"] = withDependency(0, 1);
    specs["depends on a missing step"] = withDependency(1, 7);
    return specs;
}

/// Stores a job as a daemon of a version without checks does.
void storeUnchecked(World &world, const std::string &id, const cell::JobSpec &spec)
{
    cell::JobRecord record;
    record.id = id;
    record.queue.name = "batch";
    record.queue.service = "s";
    record.queue.maxAttempts = 2;
    record.spec = spec;
    world.store().put(cell::keys::job(0, id), cell::encode(record));
}

/// Submits a job through the HTTP interface of a node and returns the status of the response.
unsigned post(World &world, const std::string &id, const std::string &body)
{
    const auto response = world.request(0, { "POST", "/q/" + id, "h", body, {} });
    return response ? response->status : 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(jobdefect)

BOOST_AUTO_TEST_CASE(findsDefects)
{
    for (const auto &[what, spec] : jobsThatCannotRun())
        BOOST_TEST(cell::findDefect(spec).has_value(), what);
    for (const auto &plan : { batch(1), gang(4), chain(3) })
        BOOST_TEST(!cell::findDefect(plan.spec).has_value());
}

// Guards against a stored job that cannot be loaded: its shard was reloaded in an endless loop, so
// that no other job of the cell started.
BOOST_AUTO_TEST_CASE(endsStoredJobsThatCannotRunAsFailed)
{
    for (const auto &[what, spec] : jobsThatCannotRun()) {
        World world({});
        world.run(startTime);
        storeUnchecked(world, jobId(9), spec);
        world.submit(0, jobId(1), chain(3));
        world.run(seconds(4));
        expectCompleted(world, 0, 1);
        BOOST_TEST((world.status(0, jobId(9)) == JobStatus::Failed), what);
        const auto ended = world.store().read(cell::keys::ended(0, jobId(9)));
        BOOST_REQUIRE_MESSAGE(ended, what);
        BOOST_TEST(ended->value == "failed", what);
        BOOST_TEST(!world.store().read(cell::keys::job(0, jobId(9))).has_value(), what);
    }
}

// Guards against an owner that cannot take over a shard because of one of its records.
BOOST_AUTO_TEST_CASE(takesOverShardsWithJobsThatCannotRun)
{
    World world({});
    world.run(milliseconds(1));
    std::uint32_t number = 10;
    for (const auto &[what, spec] : jobsThatCannotRun())
        storeUnchecked(world, jobId(number++), spec);
    world.run(startTime + seconds(1));
    BOOST_REQUIRE(world.owner());
    world.submit(follower(world), jobId(1), chain(3));
    world.run(seconds(4));
    expectCompleted(world, 0, 1);
    for (std::uint32_t job = 10; job < number; ++job)
        BOOST_TEST((world.status(0, jobId(job)) == JobStatus::Failed), jobId(job));
}

// Guards against a cancelled job that is reported as failed because it cannot run.
BOOST_AUTO_TEST_CASE(endsACancelledJobThatCannotRunAsCancelled)
{
    World world({});
    cell::JobRecord record;
    record.id = jobId(9);
    record.queue.name = "batch";
    record.cancelled = true;
    world.store().put(cell::keys::job(0, record.id), cell::encode(record));
    world.run(startTime + seconds(2));
    BOOST_TEST((world.status(0, record.id) == JobStatus::Cancelled));
}

// Guards against accepting a job that no owner can run.
BOOST_AUTO_TEST_CASE(rejectsJobsThatCannotRun)
{
    World world({});
    world.run(startTime);
    const std::map<std::string, std::string> bodies{
        { "no steps", R"({"steps":[]})" },
        { "empty step", R"({"steps":[{"count":0}]})" },
        { "depends on itself", R"({"steps":[{"after":[0]}]})" },
        { "depends on a later step", R"({"steps":[{"after":[1]},{}]})" },
        { "depends on a missing step", R"({"steps":[{},{"after":[7]}]})" },
    };
    std::uint32_t number = 10;
    for (const auto &[what, body] : bodies) {
        const auto id = jobId(number++);
        BOOST_TEST(post(world, id, body) == 400U, what);
        BOOST_TEST(!world.status(0, id).has_value(), what);
    }
    BOOST_TEST(post(world, jobId(1), R"({"steps":[{"cpu":100},{"cpu":100,"after":[0]}]})") == 200U);
    BOOST_TEST(world.status(0, jobId(1)).has_value());
}

// Guards against one request that exhausts the memory of its owner or makes its sums overflow.
BOOST_AUTO_TEST_CASE(rejectsJobsAboveTheLimits)
{
    World world({});
    world.run(startTime);
    // Other limits are tested without a node, since the owner of such a job would run out of
    // memory.
    BOOST_TEST(post(world, jobId(10), R"({"steps":[{"cpu":-1}]})") == 400U);
    BOOST_TEST(post(world, jobId(11), R"({"steps":[{}],"repeat_count":2,"interval_ms":-1})")
               == 400U);
}

// Guards against limits that jobs of an ordinary size reach.
BOOST_AUTO_TEST_CASE(acceptsJobsWithinTheLimits)
{
    auto many = batch(10'000);
    BOOST_TEST(!cell::findDefect(many.spec).has_value());
    auto steps = batch(100);
    steps.spec.steps.resize(100, steps.spec.steps.front());
    BOOST_TEST(!cell::findDefect(steps.spec).has_value());
    auto daily = chain(2);
    daily.spec.repeatCount = 365;
    daily.spec.interval = std::chrono::hours(24);
    daily.spec.firstStart = std::chrono::hours(24 * 365 * 60);
    BOOST_TEST(!cell::findDefect(daily.spec).has_value());
}

// Guards against a stored job of an earlier version that is too large to be loaded.
BOOST_AUTO_TEST_CASE(endsStoredJobsAboveTheLimitsAsFailed)
{
    World world({});
    world.run(startTime);
    auto overflow = batch(2).spec;
    overflow.steps.front().amount.cpuMillis = std::numeric_limits<std::int64_t>::max();
    auto manySteps = batch(1).spec;
    manySteps.steps.resize(101, manySteps.steps.front());
    storeUnchecked(world, jobId(10), overflow);
    storeUnchecked(world, jobId(11), manySteps);
    world.submit(0, jobId(1), chain(3));
    world.run(seconds(4));
    expectCompleted(world, 0, 1);
    BOOST_TEST((world.status(0, jobId(10)) == JobStatus::Failed));
    BOOST_TEST((world.status(0, jobId(11)) == JobStatus::Failed));
}

BOOST_AUTO_TEST_SUITE_END()
