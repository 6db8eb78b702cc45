#include "testjobs.h"

#include <retryafter.h>

#include <boost/test/unit_test.hpp>

#include <optional>
#include <vector>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using cell::SubmitResult;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int attemptLimit = 5; ///< The first attempt and four retries, as callers make.
constexpr milliseconds tick{ 50 };

/// A caller that retries after the advised delay.
struct Caller
{
    std::string id;
    std::optional<SubmitResult> result;
    Duration next{};
    int attemptsMade = 0;
    bool waiting = false; ///< A submission has not been answered yet.
};

} // namespace

/// Retries of callers that are refused during a store outage.
BOOST_AUTO_TEST_SUITE(retryafter)

BOOST_AUTO_TEST_CASE(waitGrowsWithTheOutageAndIsBounded)
{
    BOOST_TEST((cell::retryAfter(Duration::zero()) == seconds(1)));
    BOOST_TEST((cell::retryAfter(milliseconds(900)) == seconds(1)));
    BOOST_TEST((cell::retryAfter(milliseconds(1100)) == seconds(2)));
    BOOST_TEST((cell::retryAfter(seconds(3)) == seconds(3)));
    BOOST_TEST((cell::retryAfter(seconds(600)) == seconds(4)));
}

/// Load: 40 callers per second during a store outage of 6.5 s.
BOOST_AUTO_TEST_CASE(callersOfALongOutageAreServedAfterIt)
{
    World world({});
    world.run(startTime);
    world.setStoreFaultForAll(StoreFault::Refuse);
    world.run(milliseconds(1000));
    std::vector<Caller> callers(80);
    for (std::size_t index = 0; index < callers.size(); ++index) {
        callers[index].id = jobId(static_cast<std::uint32_t>(index + 1));
        callers[index].next = milliseconds(25) * static_cast<std::int64_t>(index);
    }
    for (Duration time{}; time < seconds(16); time += tick) {
        if (time == milliseconds(5500))
            world.setStoreFaultForAll(StoreFault::None);
        for (std::size_t index = 0; index < callers.size(); ++index) {
            Caller &caller = callers[index];
            const auto node = static_cast<std::uint32_t>((index + caller.attemptsMade) % 3);
            if (caller.waiting && caller.result) {
                caller.waiting = false;
                caller.next = time + world.retryAfter(node);
            }
            const bool served = caller.result == SubmitResult::Accepted;
            if (served || caller.waiting || time < caller.next
                || caller.attemptsMade == attemptLimit)
                continue;
            caller.result.reset();
            caller.waiting = true;
            ++caller.attemptsMade;
            world.submit(node, caller.id, batch(1), &caller.result);
        }
        world.run(tick);
    }
    for (const auto &caller : callers)
        BOOST_TEST((caller.result == SubmitResult::Accepted));
    expectNoViolations(world);
}

BOOST_AUTO_TEST_SUITE_END()
