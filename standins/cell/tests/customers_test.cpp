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
