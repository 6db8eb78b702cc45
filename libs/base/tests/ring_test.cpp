#include <base/ring.h>

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace cowsliprock;

// Guards against a full ring that blocks the producer or drops items without counting them.
BOOST_AUTO_TEST_CASE(fullRingRefusesAndCountsItems)
{
    BoundedRing<int> ring(2);
    BOOST_TEST(ring.tryPush(1));
    BOOST_TEST(ring.tryPush(2));
    BOOST_TEST(!ring.tryPush(3));
    BOOST_TEST(ring.refusedCount() == 1U);
    BOOST_TEST(ring.pop().value() == 1);
}

// Guards against a consumer that stays blocked at shutdown.
BOOST_AUTO_TEST_CASE(closeWakesWaitingConsumer)
{
    BoundedRing<int> ring(2);
    std::thread consumer([&ring] { BOOST_TEST(!ring.pop().has_value()); });
    while (ring.size() >= 0) // The size is negative once the consumer is blocked.
        std::this_thread::yield();
    ring.close();
    consumer.join();
}
