#include <eventloop/eventloop.h>

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <stdexcept>
#include <string>
#include <vector>

using namespace cowsliprock;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(eventloop)

BOOST_AUTO_TEST_CASE(runsTimersInOrderOfTheirDueTimes)
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

BOOST_AUTO_TEST_CASE(continuesAfterAnExceptionInAHandler)
{
    EventLoop loop;
    std::vector<std::string> errors;
    loop.onUnexpectedError([&errors](const std::string &error) { errors.push_back(error); });
    bool later = false;
    loop.after(Duration::zero(), [] { throw std::runtime_error("first"); });
    loop.after(milliseconds(5), [] { throw std::out_of_range("second"); });
    loop.after(milliseconds(10), [&] {
        later = true;
        loop.stop();
    });
    loop.run();
    BOOST_TEST(later);
    BOOST_TEST(errors == (std::vector<std::string>{ "first", "second" }),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(handlesASignalAgainAfterAnExceptionInItsHandler)
{
    EventLoop loop;
    loop.onUnexpectedError([](const std::string &) { std::raise(SIGHUP); });
    int received = 0;
    loop.onSignal(SIGHUP, [&] {
        if (++received == 2)
            loop.stop();
        else
            throw std::runtime_error("handler failed");
    });
    loop.after(milliseconds(1), [] { std::raise(SIGHUP); });
    loop.run();
    BOOST_TEST(received == 2);
}

BOOST_AUTO_TEST_SUITE_END()
