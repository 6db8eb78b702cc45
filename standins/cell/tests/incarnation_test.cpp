#include "testjobs.h"

#include <boost/test/unit_test.hpp>

#include <cstddef>
#include <string>
#include <string_view>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::size_t eventsOf(const World &world, std::uint32_t node, std::string_view event)
{
    const auto log = world.logOf(node);
    const std::string text = "\"" + std::string(event) + "\"";
    std::size_t count = 0;
    for (auto at = log.find(text); at != std::string::npos; at = log.find(text, at + 1))
        ++count;
    return count;
}

World::Settings workers(std::uint32_t count)
{
    World::Settings settings;
    settings.workers = count;
    return settings;
}

} // namespace

/// Workers that restart under their id.
BOOST_AUTO_TEST_SUITE(incarnations)

/// The answer of the former incarnation to an overdue poll arrives after the new one has answered.
/// Taken for another restart, it had the tasks of the new incarnation started twice.
BOOST_AUTO_TEST_CASE(lateInventoryOfAFormerIncarnationIsIgnored)
{
    World world(workers(2));
    world.run(startTime);
    world.submit(0, jobId(1), batch(8, seconds(10)));
    world.run(seconds(2));
    const auto owner = *world.owner();
    // The answers to the pending long polls are under way for longer than the owner waits.
    world.setExtraDelay(milliseconds(2500));
    world.run(milliseconds(950));
    world.setExtraDelay({});
    world.crashWorker(0);
    world.run(seconds(25));
    BOOST_TEST(eventsOf(world, owner, "worker.newLife") == 1U);
    expectCompleted(world, owner, 1);
}

BOOST_AUTO_TEST_SUITE_END()
