#include "connectionregistry.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <vector>

using namespace cowsliprock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint start{ seconds(1000) };

struct TestConnection : ConnectionRegistry::Entry
{
    void expire() override { }
    void evict() override { }
};

} // namespace

BOOST_AUTO_TEST_SUITE(connectionregistry)

/// Guards against evicting a useful connection while others are unused, or one with a request in
/// progress.
BOOST_AUTO_TEST_CASE(evictsTheLeastUsefulConnectionFirst)
{
    ConnectionRegistry registry;
    std::vector<TestConnection> connections(8);
    const auto enter = [&](std::size_t index, ConnectionPhase phase, int second) {
        registry.enter(connections[index], phase, start + seconds(second), TimePoint::max());
    };
    enter(7, ConnectionPhase::Handling, 0);
    enter(6, ConnectionPhase::Writing, 0);
    enter(5, ConnectionPhase::Receiving, 2);
    enter(4, ConnectionPhase::Receiving, 1);
    enter(3, ConnectionPhase::Idle, 4);
    enter(2, ConnectionPhase::Idle, 3);
    enter(1, ConnectionPhase::Unused, 6);
    enter(0, ConnectionPhase::Closing, 7);
    const auto now = start + seconds(8);
    for (std::size_t index = 0; index < 7; ++index) {
        BOOST_TEST(registry.leastUseful(now) == &connections[index]);
        registry.remove(connections[index]);
    }
    BOOST_TEST(registry.leastUseful(now) == nullptr);
}

/// Guards against losing a response that is just being written.
BOOST_AUTO_TEST_CASE(doesNotEvictAConnectionThatBeginsToWrite)
{
    ConnectionRegistry registry;
    TestConnection connection;
    registry.enter(connection, ConnectionPhase::Writing, start, TimePoint::max());
    BOOST_TEST(registry.leastUseful(start + milliseconds(999)) == nullptr);
    BOOST_TEST(registry.leastUseful(start + milliseconds(1000)) == &connection);
}

/// Guards against timers that wake up a process without connections.
BOOST_AUTO_TEST_CASE(hasADeadlineOnlyWhileAConnectionHasOne)
{
    ConnectionRegistry registry;
    TestConnection first;
    TestConnection second;
    BOOST_TEST(!registry.nextDeadline().has_value());
    registry.enter(first, ConnectionPhase::Idle, start, start + seconds(2));
    registry.enter(second, ConnectionPhase::Receiving, start, start + seconds(1));
    BOOST_TEST((registry.nextDeadline() == start + seconds(1)));
    BOOST_TEST(registry.expired(start + milliseconds(999)) == nullptr);
    BOOST_TEST(registry.expired(start + seconds(1)) == &second);
    registry.enter(second, ConnectionPhase::Handling, start, TimePoint::max());
    BOOST_TEST((registry.nextDeadline() == start + seconds(2)));
    registry.remove(first);
    BOOST_TEST(!registry.nextDeadline().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
