#include <base/ring.h>

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace cowsliprock;

// Guards against a full ring that blocks or drops silently.
BOOST_AUTO_TEST_CASE(fullRingRefusesAndCounts)
{
    BoundedRing<int> ring(2);
    BOOST_TEST(ring.tryPush(1));
    BOOST_TEST(ring.tryPush(2));
    BOOST_TEST(!ring.tryPush(3));
    BOOST_TEST(ring.refusedCount() == 1U);
    BOOST_TEST(ring.pop().value() == 1);
}

// Guards against a consumer that never ends at shutdown.
BOOST_AUTO_TEST_CASE(closeWakesWaitingConsumer)
{
    BoundedRing<int> ring(2);
    std::thread consumer([&ring] { BOOST_TEST(!ring.pop().has_value()); });
    while (ring.size() >= 0) // A negative size shows that the consumer is waiting.
        std::this_thread::yield();
    ring.close();
    consumer.join();
}
