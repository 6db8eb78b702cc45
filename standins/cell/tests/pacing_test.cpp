#include <sendwindow.h>

#include <eventloop/responsetimes.h>

#include <boost/test/unit_test.hpp>

using namespace cowsliprock;
using namespace cowsliprock::cell;
using std::chrono::milliseconds;

/// Adaptive reply timeouts and the window of unanswered orders.
BOOST_AUTO_TEST_SUITE(pacing)

BOOST_AUTO_TEST_CASE(timeoutFollowsTheAnswersAndIsBounded)
{
    ResponseTimes times;
    BOOST_TEST((times.timeout() == milliseconds(300)));
    for (int answer = 0; answer < 50; ++answer)
        times.observe(milliseconds(40));
    BOOST_TEST((times.timeout() == milliseconds(300)));
    for (int answer = 0; answer < 50; ++answer)
        times.observe(milliseconds(900));
    BOOST_TEST((times.timeout() >= milliseconds(900)));
    for (int answer = 0; answer < 50; ++answer)
        times.observe(milliseconds(9000));
    BOOST_TEST((times.timeout() == milliseconds(2000)));
    for (int answer = 0; answer < 100; ++answer)
        times.observe(milliseconds(40));
    BOOST_TEST((times.timeout() == milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(windowShrinksWhileAnswersAreSlowAndGrowsAgain)
{
    SendWindow window;
    TimePoint now{};
    const auto full = window.size();
    const auto simulateRound = [&](Duration answerTime) {
        const auto size = window.size();
        for (std::uint32_t order = 0; order < size; ++order)
            window.sent();
        BOOST_TEST(!window.open());
        now += answerTime;
        for (std::uint32_t order = 0; order < size; ++order)
            window.ended(now, answerTime);
        BOOST_TEST(window.inFlight() == 0U);
    };
    for (int round = 0; round < 20; ++round)
        simulateRound(milliseconds(800));
    BOOST_TEST(window.size() < full / 4);
    BOOST_TEST(window.size() >= 8U);
    for (int round = 0; round < 300; ++round)
        simulateRound(milliseconds(30));
    BOOST_TEST(window.size() >= full);
}

BOOST_AUTO_TEST_CASE(oneRoundOfSlowAnswersShrinksTheWindowOnce)
{
    SendWindow window;
    const auto full = window.size();
    const TimePoint now{ std::chrono::seconds(1) };
    for (std::uint32_t order = 0; order < full; ++order)
        window.sent();
    for (std::uint32_t order = 0; order < full; ++order)
        window.ended(now, milliseconds(500));
    BOOST_TEST(window.size() >= full / 2);
}

BOOST_AUTO_TEST_CASE(singleWorkersWithoutAnAnswerLeaveTheWindowAsItIs)
{
    SendWindow window;
    const auto full = window.size();
    TimePoint now{};
    for (int order = 0; order < 1000; ++order) {
        window.sent();
        now += milliseconds(10);
        window.ended(now, milliseconds(30));
    }
    BOOST_TEST(window.size() >= full);
}

BOOST_AUTO_TEST_SUITE_END()
