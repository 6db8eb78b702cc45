#include <eventloop/eventloop.h>

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <vector>

using namespace cowsliprock;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(eventloop)

BOOST_AUTO_TEST_CASE(callsTimersInTheOrderOfTheirTimes)
{
    EventLoop loop;
    std::vector<int> order;
    loop.after(milliseconds(20), [&order] { order.push_back(2); });
    loop.after(milliseconds(1), [&order] { order.push_back(1); });
    loop.after(Duration::zero(), [&order] { order.push_back(0); });
    loop.after(milliseconds(40), [&loop] { loop.stop(); });
    loop.run();
    BOOST_TEST(order == (std::vector<int>{ 0, 1, 2 }), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(reportsSignals)
{
    EventLoop loop;
    int received = 0;
    loop.onSignal(SIGHUP, [&] {
        if (++received == 2)
            loop.stop();
        else
            std::raise(SIGHUP);
    });
    loop.after(milliseconds(1), [] { std::raise(SIGHUP); });
    loop.run();
    BOOST_TEST(received == 2);
}

BOOST_AUTO_TEST_SUITE_END()
