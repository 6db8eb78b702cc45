#include <base/error.h>
#include <base/id.h>
#include <base/time.h>

#include <boost/test/unit_test.hpp>

using namespace cowsliprock;
using namespace std::chrono_literals;

// Guards against a paused clock that follows the system clock.
BOOST_AUTO_TEST_CASE(pausedClockMovesOnlyWhenAdvanced)
{
    Clock clock;
    clock.pause();
    const TimePoint start = clock.now();
    BOOST_TEST((clock.now() == start));
    clock.advance(3s);
    BOOST_TEST((clock.now() - start == 3s));
}

// Guards against a hash that differs between releases, which would move workers to other
// partitions.
BOOST_AUTO_TEST_CASE(partitionIsStable)
{
    BOOST_TEST(stableHash("") == 0xef46db3751d8e999ULL);
    BOOST_TEST(partitionOf("worker-1", "sofia-1", 6).value()
               == partitionOf("worker-1", "sofia-1", 6).value());
}

BOOST_AUTO_TEST_CASE(errorNamesStepAndPeer)
{
    const Error error{ ErrorKind::Timeout, "store.get", "127.0.0.1:7000", "no answer" };
    BOOST_TEST(error.text() == "store.get [127.0.0.1:7000]: timeout: no answer");
}
