#include <storehealth.h>

#include <boost/test/unit_test.hpp>

using namespace cowsliprock;
using cell::StoreHealth;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint start{ seconds(100) };

} // namespace

/// Which patterns of replies count as an outage.
BOOST_AUTO_TEST_SUITE(storehealth)

BOOST_AUTO_TEST_CASE(slowStoreWorks)
{
    StoreHealth health;
    auto now = start;
    for (int call = 0; call < 50; ++call) {
        const auto number = health.sent(now, false);
        now += milliseconds(300);
        BOOST_TEST(!health.failing(now));
        health.answered(number, now);
    }
    // Replies may take even longer, as on a link that becomes congested.
    const auto number = health.sent(now, false);
    for (const int ms : { 200, 400, 550 })
        BOOST_TEST(!health.failing(now + milliseconds(ms)));
    health.answered(number, now + milliseconds(550));
    BOOST_TEST(!health.failing(now + milliseconds(550)));
}

BOOST_AUTO_TEST_CASE(silenceIsDetectedBeforeTheCallsTimeOut)
{
    StoreHealth health;
    health.answered(health.sent(start, false), start + milliseconds(4));
    const auto sent = start + seconds(1);
    static_cast<void>(health.sent(sent, false));
    BOOST_TEST(!health.failing(sent + milliseconds(599)));
    BOOST_TEST(health.failing(sent + milliseconds(600)));
    BOOST_TEST(health.silent(sent + milliseconds(600)));
    BOOST_REQUIRE(health.silentAt());
    BOOST_TEST((*health.silentAt() == sent + milliseconds(600)));
}

BOOST_AUTO_TEST_CASE(openWatchDoesNotCountAsSilence)
{
    StoreHealth health;
    static_cast<void>(health.sent(start, true));
    BOOST_TEST(!health.silentAt().has_value());
    BOOST_TEST(!health.failing(start + seconds(30)));
}

BOOST_AUTO_TEST_CASE(singleLostReplyDoesNotCountAsSilence)
{
    StoreHealth health;
    const auto lost = health.sent(start, false);
    auto now = start;
    for (int call = 0; call < 10; ++call) {
        now += milliseconds(100);
        health.answered(health.sent(now, false), now + milliseconds(5));
        BOOST_TEST(!health.failing(now + milliseconds(5)));
    }
    health.unanswered(lost, now);
    BOOST_TEST(!health.failing(now));
}

BOOST_AUTO_TEST_CASE(refusalsInARowAreAnOutageUntilACallSucceeds)
{
    StoreHealth health;
    const auto before = health.sent(start, true);
    health.refused(health.sent(start, false), start + milliseconds(2));
    BOOST_TEST(!health.failing(start + milliseconds(2)));
    health.refused(health.sent(start + milliseconds(3), false), start + milliseconds(5));
    BOOST_TEST(health.failing(start + milliseconds(5)));
    BOOST_TEST(!health.silent(start + milliseconds(5)));
    // The reply to an earlier watch is no evidence of the current state.
    health.answered(before, start + milliseconds(50));
    BOOST_TEST(health.failing(start + milliseconds(50)));
    health.answered(health.sent(start + milliseconds(60), false), start + milliseconds(64));
    BOOST_TEST(!health.failing(start + milliseconds(64)));
}

BOOST_AUTO_TEST_CASE(connectionsThatBreakOneAfterTheOtherAreAnOutage)
{
    StoreHealth health;
    const auto first = health.sent(start, false);
    const auto second = health.sent(start, false);
    const auto watch = health.sent(start, true);
    // Connections that break together count as one event, such as a restart of the store or a
    // proxy.
    for (const auto call : { first, second, watch })
        health.unanswered(call, start + milliseconds(3));
    BOOST_TEST(!health.failing(start + milliseconds(3)));
    health.unanswered(health.sent(start + milliseconds(4), false), start + milliseconds(7));
    BOOST_TEST(health.failing(start + milliseconds(7)));
    BOOST_TEST(!health.silent(start + milliseconds(7)));
    health.answered(health.sent(start + milliseconds(150), false), start + milliseconds(154));
    BOOST_TEST(!health.failing(start + milliseconds(154)));
}

BOOST_AUTO_TEST_SUITE_END()
