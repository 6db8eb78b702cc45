#include "testjobs.h"

#include <comeback.h>

#include <boost/test/unit_test.hpp>

#include <optional>
#include <vector>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using cell::SubmitResult;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int tries = 5; ///< The first and four more, as callers make.
constexpr milliseconds tick{ 50 };

/// A caller that comes back when it is told to.
struct Caller
{
    std::string id;
    std::optional<SubmitResult> result;
    Duration next{};
    int triesMade = 0;
    bool waiting = false; ///< For an answer.
};

} // namespace

/// Callers that are refused while the store is away.
BOOST_AUTO_TEST_SUITE(comeback)

BOOST_AUTO_TEST_CASE(waitGrowsWithTheOutageAndIsBounded)
{
    BOOST_TEST((cell::comeBackAfter(Duration::zero()) == seconds(1)));
    BOOST_TEST((cell::comeBackAfter(milliseconds(900)) == seconds(1)));
    BOOST_TEST((cell::comeBackAfter(milliseconds(1100)) == seconds(2)));
    BOOST_TEST((cell::comeBackAfter(seconds(3)) == seconds(3)));
    BOOST_TEST((cell::comeBackAfter(seconds(600)) == seconds(4)));
}

/// Load: 40 callers a second through an outage of 6.5 s.
BOOST_AUTO_TEST_CASE(callersOfALongOutageAreServedAfterIt)
{
    World world({});
    world.run(startTime);
    world.storeFaultForAll(StoreFault::Refuse);
    world.run(milliseconds(1000));
    std::vector<Caller> callers(80);
    for (std::size_t index = 0; index < callers.size(); ++index) {
        callers[index].id = jobId(static_cast<std::uint32_t>(index + 1));
        callers[index].next = milliseconds(25) * static_cast<std::int64_t>(index);
    }
    for (Duration time{}; time < seconds(16); time += tick) {
        if (time == milliseconds(5500))
            world.storeFaultForAll(StoreFault::None);
        for (std::size_t index = 0; index < callers.size(); ++index) {
            Caller &caller = callers[index];
            const auto node = static_cast<std::uint32_t>((index + caller.triesMade) % 3);
            if (caller.waiting && caller.result) {
                caller.waiting = false;
                caller.next = time + world.comeBackAfter(node);
            }
            const bool served = caller.result == SubmitResult::Accepted;
            if (served || caller.waiting || time < caller.next || caller.triesMade == tries)
                continue;
            caller.result.reset();
            caller.waiting = true;
            ++caller.triesMade;
            world.submit(node, caller.id, batch(1), &caller.result);
        }
        world.run(tick);
    }
    for (const auto &caller : callers)
        BOOST_TEST((caller.result == SubmitResult::Accepted));
    checkPromises(world);
}

BOOST_AUTO_TEST_SUITE_END()
