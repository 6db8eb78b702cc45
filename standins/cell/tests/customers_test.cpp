#include "testjobs.h"

#include <records.h>

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t nodes = 3;
/// Time within which a new configuration applies on every connected daemon.
constexpr milliseconds configurationTime{ 4000 };
constexpr unsigned statusOk = 200;
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusUnauthorized = 401;
constexpr unsigned statusNotFound = 404;

/// A job that starts in the year 2100, so that its record stays in the store.
const std::string jobDocument =
    R"({"spec":"t","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":300}],
    "repeat_count":1,"start_at_ms":4102444800000,"interval_ms":1000})";

cell::QueueSettings queue(const std::string &name, bool anonymous)
{
    cell::QueueSettings settings;
    settings.name = name;
    settings.host = "h";
    settings.prefix = "/" + name + "/";
    settings.service = "s";
    settings.targetRuntime = seconds(2);
    settings.timeout = seconds(20);
    settings.anonymous = anonymous;
    settings.priority = anonymous ? 2 : 0;
    return settings;
}

CustomerPlan customer(const std::string &name, const std::vector<std::string> &keys)
{
    return { { name, 1.0, {} }, keys };
}

World::Settings cellWith(const std::vector<CustomerPlan> &customers)
{
    World::Settings settings;
    settings.nodes = nodes;
    settings.queues = { queue("keyed", false), queue("open", true) };
    settings.customers = customers;
    return settings;
}

/// Status of the response to a submission to the node.
unsigned submitStatus(World &world, std::uint32_t node, const std::string &path,
                      const std::string &key)
{
    HttpRequest request{ "POST", path, "h:80", jobDocument, {} };
    if (!key.empty())
        request.headers.emplace_back("Api-Key", key);
    const auto response = world.request(node, request);
    return response ? response->status : 0;
}

/// CPU of one task of the test jobs.
constexpr std::int64_t taskCpu = 4000;

CustomerPlan customerWithQuota(const std::string &name, std::int64_t cpuMillis)
{
    return { { name, 1.0, { cpuMillis, 0, 0 } }, { name } };
}

World::JobPlan ofCustomer(const std::string &name, World::JobPlan plan)
{
    plan.customer = name;
    plan.queue = "keyed";
    return plan;
}

std::int64_t cpuHeld(World &world)
{
    std::int64_t sum = 0;
    for (std::uint32_t worker = 0; worker < World::Settings().workers; ++worker)
        sum += world.worker(worker).held().cpuMillis;
    return sum;
}

std::string keyedPath(std::uint32_t job)
{
    return "/keyed/" + jobId(job);
}

} // namespace

BOOST_AUTO_TEST_SUITE(apikeys)

// Guards against daemons that accept calls without a valid key, and against the wrong order of
// checks: an unknown route is reported as such, whatever the key.
BOOST_AUTO_TEST_CASE(callsNeedTheKeyOfACustomer)
{
    World world(cellWith({ customer("a", { "key-a1", "key-a2" }), customer("b", { "key-b" }) }));
    world.run(startTime);
    BOOST_TEST(submitStatus(world, 0, keyedPath(1), "key-a1") == statusOk);
    BOOST_TEST(submitStatus(world, 1, keyedPath(2), "key-a2") == statusOk);
    BOOST_TEST(submitStatus(world, 2, keyedPath(3), "key-b") == statusOk);
    BOOST_TEST(submitStatus(world, 0, keyedPath(4), "key-c") == statusUnauthorized);
    BOOST_TEST(submitStatus(world, 0, keyedPath(5), "") == statusUnauthorized);
    BOOST_TEST(submitStatus(world, 0, "/none/" + jobId(6), "key-c") == statusNotFound);
    BOOST_TEST(submitStatus(world, 0, "/open/" + jobId(7), "") == statusOk);
    for (const auto *method : { "GET", "DELETE" }) {
        const auto response = world.request(0, { method, keyedPath(1), "h", "", {} });
        BOOST_REQUIRE(response.has_value());
        BOOST_TEST(response->status == statusUnauthorized, method);
    }
}

BOOST_AUTO_TEST_CASE(withoutCustomersNoKeyIsNeeded)
{
    World world(cellWith({}));
    world.run(startTime);
    BOOST_TEST(submitStatus(world, 0, keyedPath(1), "") == statusOk);
    BOOST_TEST(submitStatus(world, 0, keyedPath(2), "key-a") == statusOk);
}

// Guards against a daemon that cannot reach the store and keeps accepting a revoked key, although
// its peers have the new configuration.
BOOST_AUTO_TEST_CASE(addedAndRevokedKeysApplyOnEveryNode)
{
    World world(cellWith({ customer("a", { "old" }) }));
    world.run(startTime);
    world.setStoreFault(follower(world), StoreFault::Refuse);
    world.run(seconds(2));
    world.changeCustomers({ customer("a", { "new" }) });
    world.run(configurationTime);
    for (std::uint32_t node = 0; node < nodes; ++node) {
        BOOST_TEST(submitStatus(world, node, keyedPath(10 + node), "new") == statusOk, node);
        BOOST_TEST(submitStatus(world, node, keyedPath(20 + node), "old") == statusUnauthorized,
                   node);
    }
}

// Guards against keys in logs, metrics and job records.
BOOST_AUTO_TEST_CASE(jobRecordNamesTheCustomerAndNotTheKey)
{
    World world(cellWith({ customer("a", { "secret-key" }) }));
    world.run(startTime);
    BOOST_TEST(submitStatus(world, 0, keyedPath(1), "secret-key") == statusOk);
    BOOST_TEST(submitStatus(world, 0, keyedPath(2), "secret-key-of-nobody") == statusUnauthorized);
    for (std::uint32_t node = 0; node < nodes; ++node)
        BOOST_TEST(world.logOf(node).find("secret-key") == std::string::npos);
    const auto stored = world.store().list("cowsliprock/", "");
    std::size_t withCustomer = 0;
    for (const auto &item : stored.items) {
        BOOST_TEST(item.value.find("secret-key") == std::string::npos, item.key);
        const auto record = cell::decodeJob(item.value);
        withCustomer += record && record->customer == "a" ? 1 : 0;
    }
    BOOST_TEST(withCustomer == 1U);
}

// Guards against a changed record format in cells without customers.
BOOST_AUTO_TEST_CASE(recordWithoutCustomerHasNoCustomerMember)
{
    cell::JobRecord record;
    record.id = jobId(1);
    record.spec = batch(1).spec;
    BOOST_TEST(encode(record).find("customer") == std::string::npos);
    record.customer = "a";
    const auto decoded = cell::decodeJob(encode(record));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->customer == "a");
}

BOOST_AUTO_TEST_SUITE_END()

/// Quotas of customers. Tasks above a quota violate QUOTA.
BOOST_AUTO_TEST_SUITE(quotas)

// Guards against several starts of one pass that are each compared with the use before the pass.
BOOST_AUTO_TEST_CASE(customerUsesNoMoreThanItsQuota)
{
    World world(cellWith({ customerWithQuota("a", 5 * taskCpu) }));
    world.run(startTime);
    world.submit(0, jobId(1), ofCustomer("a", batch(8, seconds(2))));
    world.submit(1, jobId(2), ofCustomer("a", batch(8, seconds(2))));
    world.run(seconds(1));
    BOOST_TEST(cpuHeld(world) == 5 * taskCpu);
    world.run(seconds(20));
    expectCompleted(world, 0, 2);
}

// Guards against a customer at its quota that blocks others: its pending steps used up the failures
// that a pass tolerates, and outranked the less urgent steps of others.
BOOST_AUTO_TEST_CASE(customerAtItsQuotaDoesNotDelayOthers)
{
    World world(cellWith({ customerWithQuota("a", taskCpu), customerWithQuota("b", 0) }));
    world.run(startTime);
    constexpr std::uint32_t blocked = 150;
    for (std::uint32_t job = 1; job <= blocked; ++job)
        world.submit(0, jobId(job), ofCustomer("a", batch(1, seconds(30))));
    world.run(seconds(1));
    auto later = ofCustomer("b", batch(6, seconds(10)));
    later.queue = "open";
    world.submit(0, jobId(blocked + 1), later);
    world.run(milliseconds(500));
    BOOST_TEST(cpuHeld(world) == 7 * taskCpu);
    expectNoViolations(world);
}

BOOST_AUTO_TEST_CASE(gangStartsOnlyIfTheQuotaPermitsAllMembers)
{
    World world(cellWith({ customerWithQuota("a", 4 * taskCpu) }));
    world.run(startTime);
    world.submit(0, jobId(1), ofCustomer("a", batch(2, seconds(3))));
    world.run(milliseconds(200));
    world.submit(0, jobId(2), ofCustomer("a", gang(4, seconds(1))));
    world.run(seconds(1));
    BOOST_TEST(cpuHeld(world) == 2 * taskCpu);
    world.run(seconds(10));
    expectCompleted(world, 0, 2);
}

// Guards against small jobs of a customer that keep its gang waiting for the quota for ever.
BOOST_AUTO_TEST_CASE(gangOfACustomerAtItsQuotaIsNotStarved)
{
    World world(cellWith({ customerWithQuota("a", 4 * taskCpu) }));
    world.run(startTime);
    world.submit(0, jobId(1), ofCustomer("a", batch(4, seconds(1))));
    world.run(milliseconds(100));
    world.submit(0, jobId(2), ofCustomer("a", gang(4, seconds(1))));
    for (std::uint32_t job = 3; job < 30; ++job) {
        world.submit(0, jobId(job), ofCustomer("a", batch(1, milliseconds(900))));
        world.run(milliseconds(100));
    }
    BOOST_TEST((world.status(0, jobId(2)) == cell::JobStatus::Completed));
    expectNoViolations(world);
}

// Guards against a quota that is kept for a gang though the customer's lasting tasks never free
// enough of it.
BOOST_AUTO_TEST_CASE(gangBehindLastingTasksKeepsNoQuota)
{
    World world(cellWith({ customerWithQuota("a", 4 * taskCpu) }));
    world.run(startTime);
    auto lasting = batch(2, seconds(1000));
    lasting.spec.steps.front().longRunning = true;
    world.submit(0, jobId(1), ofCustomer("a", lasting));
    world.run(seconds(1));
    auto waiting = gang(3, seconds(1000));
    waiting.spec.steps.front().longRunning = true;
    world.submit(0, jobId(2), ofCustomer("a", waiting));
    world.run(milliseconds(500));
    world.submit(0, jobId(3), ofCustomer("a", batch(1, milliseconds(200))));
    world.run(seconds(2));
    BOOST_TEST((world.status(0, jobId(2)) == cell::JobStatus::Queued));
    BOOST_TEST((world.status(0, jobId(3)) == cell::JobStatus::Completed));
    expectNoViolations(world);
}

BOOST_AUTO_TEST_CASE(loweredQuotaAdmitsNothingUntilThereIsRoom)
{
    World world(cellWith({ customerWithQuota("a", 8 * taskCpu) }));
    world.run(startTime);
    world.submit(0, jobId(1), ofCustomer("a", batch(6, seconds(8))));
    world.run(seconds(1));
    world.changeCustomers({ customerWithQuota("a", 2 * taskCpu) });
    world.run(configurationTime);
    world.submit(0, jobId(2), ofCustomer("a", batch(4, seconds(1))));
    world.run(seconds(2));
    BOOST_TEST(world.guarantees().starts() == 6U);
    world.run(seconds(12));
    expectCompleted(world, 0, 2);
}

// Guards against a new owner that does not count what an earlier one has started on workers that it
// cannot reach yet.
BOOST_AUTO_TEST_CASE(newOwnerCountsTasksOfUnreachableWorkers)
{
    World world(cellWith({ customerWithQuota("a", 6 * taskCpu) }));
    world.run(startTime);
    world.submit(0, jobId(1), ofCustomer("a", batch(6, seconds(20))));
    world.run(seconds(1));
    const auto owner = world.owner().value();
    const auto worker = workerInUse(world, World::Settings().workers);
    for (std::uint32_t node = 0; node < nodes; ++node) {
        if (node != owner)
            world.isolateWorkerFrom(node, worker, true);
    }
    world.kill(owner);
    const auto other = owner == 0 ? 1U : 0U;
    for (std::uint32_t job = 2; job < 12; ++job) {
        world.submit(other, jobId(job), ofCustomer("a", batch(2, seconds(1))));
        world.run(seconds(1));
    }
    BOOST_TEST(world.owner().value() != owner);
    expectNoViolations(world);
}

// Guards against jobs that are accepted although they can never run.
BOOST_AUTO_TEST_CASE(jobThatExceedsTheQuotaIsRejected)
{
    auto limited = customerWithQuota("a", taskCpu);
    limited.apiKeys = { "k" };
    World world(cellWith({ limited }));
    world.run(startTime);
    const auto statusOf = [&world](std::uint32_t job, const std::string &step) {
        const auto body = R"({"spec":"t","steps":[{"mem_mb":100,"estimate_ms":300,)" + step + "}]}";
        const auto response =
            world.request(0, { "POST", keyedPath(job), "h", body, { { "Api-Key", "k" } } });
        return response ? response->status : 0;
    };
    BOOST_TEST(statusOf(1, R"("count":9,"cpu":4000)") == statusOk);
    BOOST_TEST(statusOf(2, R"("count":1,"cpu":4001)") == statusBadRequest);
    BOOST_TEST(statusOf(3, R"("count":5,"cpu":1000,"gang":true)") == statusBadRequest);
    BOOST_TEST(statusOf(4, R"("count":4,"cpu":1000,"gang":true)") == statusOk);
    BOOST_TEST(statusOf(5, R"("count":1,"cpu":9000,"fills":true)") == statusOk);
}

// Guards against operators who cannot tell why a customer's work waits, and against a log that
// grows with each pass.
BOOST_AUTO_TEST_CASE(loadOfCustomersIsLoggedOnceASecond)
{
    World world(cellWith({ customerWithQuota("a", 2 * taskCpu), customerWithQuota("b", 0) }));
    world.run(startTime);
    world.submit(0, jobId(1), ofCustomer("a", batch(8, seconds(6))));
    world.run(seconds(5));
    std::size_t lines = 0;
    const auto log = world.logOf(world.owner().value());
    for (auto at = log.find("customer.load"); at != std::string::npos;
         at = log.find("customer.load", at + 1)) {
        ++lines;
    }
    BOOST_TEST(lines >= 4U);
    BOOST_TEST(lines <= 6U);
    BOOST_TEST(log.find("\"cpuMillis\":8000,\"quotaCpuMillis\":8000") != std::string::npos);
    BOOST_TEST(log.find("\"tasksAtQuota\":6") != std::string::npos);
}

// A job above the quota counts as refused for its customer.
BOOST_AUTO_TEST_CASE(refusalsAreCountedByCustomer)
{
    World world(cellWith({ customerWithQuota("a", 500) }));
    world.run(startTime);
    BOOST_TEST(submitStatus(world, 0, keyedPath(1), "a") == statusBadRequest);
    BOOST_TEST(world.counterOf(0, "customers.a.refused.overQuota") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
