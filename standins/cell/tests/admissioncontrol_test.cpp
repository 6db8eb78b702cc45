#include "testjobs.h"

#include <admissioncontrol.h>
#include <peermessages.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using cell::AdmissionControl;
using cell::SubmitResult;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t daemons = 2;
const cell::CustomerSettings customer{ "a", 10.0, {} };
constexpr unsigned statusTooManyRequests = 429;

cell::QueueSettings queue()
{
    cell::QueueSettings settings;
    settings.name = "q";
    settings.host = "h";
    settings.prefix = "/q/";
    settings.service = "s";
    settings.targetRuntime = seconds(1);
    return settings;
}

World::Settings cellWith(const std::vector<cell::CustomerSettings> &customers)
{
    World::Settings settings;
    settings.queues = { queue() };
    for (const auto &each : customers)
        settings.customers.push_back({ each, { each.name } });
    return settings;
}

World::JobPlan jobOf(const std::string &name, Duration work)
{
    auto plan = batch(1, work);
    plan.customer = name;
    plan.queue = "q";
    return plan;
}

/// Number of ten jobs at \p now that are refused.
int refused(AdmissionControl &admission, Duration allowance, TimePoint now)
{
    int count = 0;
    for (int job = 0; job < 10; ++job)
        count += admission.refuses(0, customer, allowance, daemons, now) ? 1 : 0;
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(admissioncontrol)

// Guards against refusals without a hint, and against those of work that would be served in time.
BOOST_AUTO_TEST_CASE(onlyLateExcessIsRefused)
{
    AdmissionControl admission;
    TimePoint now{};
    BOOST_TEST(refused(admission, seconds(1), now) == 0);
    // The bucket is empty now.
    BOOST_TEST(refused(admission, seconds(1), now) == 0);
    admission.hintReceived(0, "a", seconds(3), now);
    BOOST_TEST(refused(admission, seconds(1), now) == 10);
    BOOST_TEST(refused(admission, seconds(4), now) == 0);
    admission.hintReceived(0, "b", seconds(3), now);
    admission.hintReceived(0, "a", std::nullopt, now);
    BOOST_TEST(refused(admission, seconds(1), now) == 0);
}

// Guards against a daemon that refuses for ever, since the owner gives hints only for jobs that
// are accepted.
BOOST_AUTO_TEST_CASE(hintsExpireAndTheGuaranteedRateIsAdmitted)
{
    AdmissionControl admission;
    TimePoint now{};
    static_cast<void>(refused(admission, seconds(1), now));
    admission.hintReceived(0, "a", seconds(3), now);
    now += seconds(1);
    BOOST_TEST(refused(admission, seconds(1), now) == 5);
    now += milliseconds(1001);
    static_cast<void>(refused(admission, seconds(1), now));
    BOOST_TEST(refused(admission, seconds(1), now) == 0);
}

BOOST_AUTO_TEST_CASE(hintOfAnotherShardDoesNotCount)
{
    AdmissionControl admission;
    const TimePoint now{};
    static_cast<void>(refused(admission, seconds(1), now));
    admission.hintReceived(1, "a", seconds(3), now);
    BOOST_TEST(refused(admission, seconds(1), now) == 0);
}

BOOST_AUTO_TEST_CASE(retryDelayIsThatOfTheBacklog)
{
    AdmissionControl admission;
    const TimePoint now{};
    BOOST_TEST((admission.retryAfter(0, "a", now) == seconds(1)));
    admission.hintReceived(0, "a", milliseconds(3200), now);
    BOOST_TEST((admission.retryAfter(0, "a", now) == seconds(4)));
    admission.hintReceived(0, "a", seconds(300), now);
    BOOST_TEST((admission.retryAfter(0, "a", now) == seconds(30)));
}

BOOST_AUTO_TEST_CASE(answerOfTheOwnerIsDecoded)
{
    const auto delay = cell::decodeAcceptedAnswer(encode(cell::AcceptedAnswer{ seconds(3) }));
    BOOST_REQUIRE(delay.has_value());
    BOOST_TEST((delay->excessDelay == seconds(3)));
    // Daemons of earlier versions answer with an empty object.
    const auto empty = cell::decodeAcceptedAnswer("{}");
    BOOST_REQUIRE(empty.has_value());
    BOOST_TEST(!empty->excessDelay.has_value());
}

// Guards against a backlog of one customer that grows without bounds, and against refusals of
// others. A refused job that is started violates REFUSED.
BOOST_AUTO_TEST_CASE(overloadedCustomerIsRefusedAndOthersAreNot)
{
    World world(cellWith({ { "large", 2.0, {} }, { "small", 5.0, {} } }));
    world.run(startTime);
    constexpr std::size_t rounds = 60;
    constexpr std::size_t jobsPerRound = 6;
    std::vector<std::optional<SubmitResult>> large(rounds * jobsPerRound);
    std::vector<std::optional<SubmitResult>> small(rounds);
    std::uint32_t job = 0;
    for (std::size_t round = 0; round < rounds; ++round) {
        for (std::size_t index = 0; index < jobsPerRound; ++index) {
            world.submit(index % 3, jobId(++job), jobOf("large", seconds(1)),
                         &large[round * jobsPerRound + index]);
        }
        if (round % 3 == 0)
            world.submit(round % 2, jobId(++job), jobOf("small", milliseconds(300)), &small[round]);
        world.run(milliseconds(100));
    }
    const auto excess = std::count(large.begin(), large.end(), SubmitResult::Excess);
    BOOST_TEST(excess > 30);
    BOOST_TEST(std::count(large.begin(), large.end(), SubmitResult::Accepted) > 100);
    BOOST_TEST(std::count(small.begin(), small.end(), SubmitResult::Accepted) == rounds / 3);
    world.run(seconds(30));
    expectNoViolations(world);
}

// Guards against a refusal of a job that an earlier submission has stored: it would run after the
// caller was told that it does not.
BOOST_AUTO_TEST_CASE(jobThatIsStoredIsNotRefused)
{
    World world(cellWith({ { "large", 0.1, {} } }));
    world.run(startTime);
    for (std::uint32_t job = 1; job <= 100; ++job)
        world.submit(0, jobId(job), jobOf("large", seconds(3)));
    world.run(seconds(2));
    world.submit(0, jobId(101), jobOf("large", seconds(3)));
    world.run(milliseconds(100));
    const std::string body =
        R"({"spec":"t","steps":[{"count":1,"cpu":4000,"mem_mb":4096,"estimate_ms":3000}]})";
    const auto submit = [&](std::uint32_t job) {
        return world.request(0,
                             { "POST", "/q/" + jobId(job), "h", body, { { "Api-Key", "large" } } });
    };
    const auto added = submit(102);
    BOOST_REQUIRE(added.has_value());
    BOOST_TEST(added->status == statusTooManyRequests);
    BOOST_REQUIRE(!added->headers.empty());
    BOOST_TEST(added->headers.front().first == "Retry-After");
    const auto known = submit(100);
    BOOST_REQUIRE(known.has_value());
    BOOST_TEST(known->status == cell::statusOk);
}

BOOST_AUTO_TEST_SUITE_END()
