#include "testjobs.h"

#include <boost/test/unit_test.hpp>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Presence records of daemons.
BOOST_AUTO_TEST_SUITE(presence)

BOOST_AUTO_TEST_CASE(lateWriteOfAnEarlierProcessDoesNotReplaceTheRecord)
{
    for (int phase = 0; phase < 8; ++phase) {
        World world({});
        world.run(startTime);
        const auto node = follower(world);
        // The writes of the earlier process are applied after the next process has started.
        world.kill(node);
        world.run(seconds(3));
        world.setStoreFault(node, StoreFault::ApplyLate);
        world.start(node);
        world.run(seconds(2) + phase * milliseconds(100));
        world.kill(node);
        world.setStoreFault(node, StoreFault::None);
        world.start(node);
        world.run(milliseconds(100));
        const auto key = cell::keys::member("node-" + std::to_string(node));
        const auto record = world.store().read(key);
        BOOST_REQUIRE(record);
        const auto own = cell::decodeMember(record->value);
        BOOST_REQUIRE(own);
        std::uint32_t replaced = 0;
        for (int step = 0; step < 500; ++step) {
            world.run(milliseconds(10));
            const auto current = world.store().read(key);
            const auto member = current ? cell::decodeMember(current->value) : std::nullopt;
            replaced += member && member->incarnation == own->incarnation ? 0 : 1;
        }
        BOOST_TEST(replaced == 0U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
