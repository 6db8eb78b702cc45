#include "testjobs.h"

#include <customershares.h>

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using cell::CustomerShares;
using cell::FairOrder;
using cell::TokenBucket;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Resources cellCapacity{ 96000, 393216, 0 };
constexpr std::int64_t taskCpu = 4000;

cell::QueueSettings queue(const std::string &name, std::uint32_t priority)
{
    cell::QueueSettings settings;
    settings.name = name;
    settings.host = "h";
    settings.prefix = "/" + name + "/";
    settings.service = "s";
    settings.priority = priority;
    settings.extension = 4.0;
    settings.targetRuntime = seconds(60);
    settings.timeout = seconds(600);
    return settings;
}

World::Settings cellWith(const std::vector<cell::CustomerSettings> &customers)
{
    World::Settings settings;
    settings.queues = { queue("urgent", 0), queue("patient", 2) };
    for (const auto &customer : customers)
        settings.customers.push_back({ customer, { customer.name } });
    return settings;
}

World::JobPlan jobOf(const std::string &customer, const std::string &queueName, Duration work)
{
    auto plan = batch(1, work);
    plan.customer = customer;
    plan.queue = queueName;
    return plan;
}

/// Number of the jobs from \p first to \p last that have completed.
std::uint32_t completed(World &world, std::uint32_t first, std::uint32_t last)
{
    std::uint32_t count = 0;
    for (std::uint32_t job = first; job <= last; ++job)
        count += world.status(0, jobId(job)) == cell::JobStatus::Completed ? 1 : 0;
    return count;
}

/// Serves all claims, each of which adds a tenth to the share of its customer.
std::vector<std::size_t> servedClaims(FairOrder &order)
{
    std::vector<std::size_t> served;
    while (const auto claim = order.next()) {
        served.push_back(*claim);
        order.served(0.1);
    }
    return served;
}

/// Number of the ended jobs with ids up to a limit, and beyond it.
struct EndedJobs
{
    std::size_t upTo = 0;
    std::size_t beyond = 0;
};

EndedJobs endedJobs(World &world, const std::string &limit)
{
    EndedJobs ended;
    std::string after;
    for (;;) {
        const auto page = world.store().list(cell::keys::endedPrefix(0), after);
        for (const auto &item : page.items) {
            const auto id = item.key.substr(item.key.rfind('/') + 1);
            ++(id <= limit ? ended.upTo : ended.beyond);
            after = item.key;
        }
        if (!page.more)
            return ended;
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(customershares)

BOOST_AUTO_TEST_CASE(bucketPassesTheRateAndASmallBurst)
{
    TimePoint now{};
    TokenBucket bucket(10.0, now);
    int taken = 0;
    while (bucket.take(now))
        ++taken;
    BOOST_TEST(taken == 20);
    now += seconds(1);
    for (taken = 0; bucket.take(now);)
        ++taken;
    BOOST_TEST(taken == 10);
    // A clock that stands still or a long pause does not fill it beyond its capacity.
    now += seconds(1000);
    for (taken = 0; bucket.take(now);)
        ++taken;
    BOOST_TEST(taken == 20);
}

// Guards against customers with a small weight of whom no job ever conforms.
BOOST_AUTO_TEST_CASE(bucketOfASmallRatePassesSingleJobs)
{
    TimePoint now{};
    TokenBucket bucket(0.1, now);
    BOOST_TEST(bucket.take(now));
    BOOST_TEST(!bucket.take(now + seconds(9)));
    BOOST_TEST(bucket.take(now + seconds(11)));
}

BOOST_AUTO_TEST_CASE(shareIsTheLargestFractionDividedByTheWeight)
{
    CustomerShares shares;
    cell::CustomerDirectory directory;
    directory.add({ "a", 4.0, {} }, {});
    shares.configure(directory, {});
    const auto customer = shares.indexOf("a", {});
    BOOST_TEST(shares.weightedShare(customer, { 24000, 1000, 0 }, cellCapacity) == 0.0625);
    // A resource that the cell lacks is ignored.
    BOOST_TEST(shares.weightedShare(customer, { 0, 0, 3 }, cellCapacity) == 0.0);
}

// Guards against a weight of zero, by which shares would be divided.
BOOST_AUTO_TEST_CASE(customerWithoutWeightComesLast)
{
    CustomerShares shares;
    cell::CustomerDirectory directory;
    directory.add({ "a", 0.0, {} }, {});
    shares.configure(directory, {});
    const auto share = shares.weightedShare(shares.indexOf("a", {}), { 960, 0, 0 }, cellCapacity);
    BOOST_TEST(share > 1.0);
    BOOST_TEST(share < 1e6);
}

BOOST_AUTO_TEST_CASE(claimsAreServedByTheLowestShare)
{
    FairOrder order;
    order.add(0, 1, 0.5);
    order.add(1, 1, 0.5);
    order.add(2, 2, 0.35);
    order.add(3, 2, 0.35);
    order.add(4, 2, 0.35);
    BOOST_TEST((servedClaims(order) == std::vector<std::size_t>{ 2, 3, 0, 4, 1 }));
}

BOOST_AUTO_TEST_CASE(claimsOfEqualSharesKeepTheirOrder)
{
    FairOrder order;
    for (std::size_t claim = 0; claim < 4; ++claim)
        order.add(claim, claim % 2, 0.5);
    BOOST_TEST((servedClaims(order) == std::vector<std::size_t>{ 0, 1, 2, 3 }));
}

// Guards against service in the order of arrival, in which a backlog of one customer delays all
// others.
BOOST_AUTO_TEST_CASE(smallCustomerIsNotBehindTheExcessOfALargeOne)
{
    World world(cellWith({ { "large", 1.0, {} }, { "small", 5.0, {} } }));
    world.run(startTime);
    std::uint32_t job = 0;
    for (int count = 0; count < 200; ++count)
        world.submit(0, jobId(++job), jobOf("large", "urgent", seconds(1)));
    world.run(milliseconds(500));
    const auto first = job + 1;
    for (int count = 0; count < 8; ++count) {
        world.submit(1, jobId(++job), jobOf("small", "urgent", milliseconds(500)));
        world.run(milliseconds(250));
    }
    world.run(seconds(2));
    const auto done = completed(world, first, job);
    BOOST_TEST(done == 8U);
    expectNoViolations(world);
}

BOOST_AUTO_TEST_CASE(conformingPatientWorkPrecedesUrgentExcess)
{
    World world(cellWith({ { "large", 0.5, {} }, { "small", 10.0, {} } }));
    world.run(startTime);
    std::uint32_t job = 0;
    for (int count = 0; count < 200; ++count)
        world.submit(0, jobId(++job), jobOf("large", "urgent", seconds(1)));
    world.run(milliseconds(500));
    const auto first = job + 1;
    for (int count = 0; count < 10; ++count)
        world.submit(1, jobId(++job), jobOf("small", "patient", milliseconds(500)));
    world.run(seconds(3));
    const auto done = completed(world, first, job);
    BOOST_TEST(done == 10U);
    expectNoViolations(world);
}

BOOST_AUTO_TEST_CASE(excessIsDividedByWeight)
{
    World world(cellWith({ { "a", 0.003, {} }, { "b", 0.001, {} } }));
    world.run(startTime);
    std::uint32_t job = 0;
    constexpr std::uint32_t jobs = 160;
    for (std::uint32_t count = 0; count < jobs; ++count)
        world.submit(0, jobId(++job), jobOf("b", "urgent", seconds(1)));
    for (std::uint32_t count = 0; count < jobs; ++count)
        world.submit(0, jobId(++job), jobOf("a", "urgent", seconds(1)));
    // The first tasks are those of the customer that came first.
    world.run(seconds(2));
    const auto before = endedJobs(world, jobId(jobs));
    world.run(seconds(6));
    const auto after = endedJobs(world, jobId(jobs));
    const auto endedOfB = after.upTo - before.upTo;
    const auto endedOfA = after.beyond - before.beyond;
    BOOST_TEST(endedOfA > 2 * endedOfB);
    BOOST_TEST(endedOfA < 4 * endedOfB);
    expectNoViolations(world);
}

// Guards against capacity that stays idle because its customer exceeds its rate.
BOOST_AUTO_TEST_CASE(excessUsesWhatOthersLeave)
{
    World world(cellWith({ { "a", 0.1, {} }, { "b", 100.0, {} } }));
    world.run(startTime);
    for (std::uint32_t job = 1; job <= 40; ++job)
        world.submit(0, jobId(job), jobOf("a", "patient", seconds(10)));
    world.run(seconds(1));
    std::int64_t held = 0;
    for (std::uint32_t worker = 0; worker < World::Settings().workers; ++worker)
        held += world.worker(worker).held().cpuMillis;
    BOOST_TEST(held == 24 * taskCpu);
}

BOOST_AUTO_TEST_SUITE_END()
