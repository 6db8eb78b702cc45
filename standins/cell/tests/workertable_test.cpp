#include <workertable.h>

#include <boost/test/unit_test.hpp>

using namespace cowsliprock;
using cell::Run;
using std::chrono::seconds;

namespace {

constexpr TimePoint ordered{ seconds(100) };
constexpr TimePoint requested{ seconds(101) };

/// A run that was listed by the previous instance of its worker.
Run listedRun()
{
    Run run;
    run.ordered = ordered;
    run.phase = cell::RunPhase::Running;
    run.listed = true;
    return run;
}

} // namespace

/// Which runs may still reach a worker that has restarted.
BOOST_AUTO_TEST_SUITE(workertable)

BOOST_AUTO_TEST_CASE(listedRunEndedWithThePreviousInstance)
{
    BOOST_TEST(!mayStillArrive(listedRun(), requested));
}

BOOST_AUTO_TEST_CASE(repeatedOrderMayReachTheNewInstance)
{
    auto run = listedRun();
    run.startPending = true;
    BOOST_TEST(mayStillArrive(run, requested));
}

BOOST_AUTO_TEST_CASE(orderWithUnknownOutcomeMayReachTheNewInstance)
{
    auto run = listedRun();
    run.outcomeUnknown = true;
    BOOST_TEST(mayStillArrive(run, requested));
}

BOOST_AUTO_TEST_CASE(unlistedAcceptedRunMayBelongToEitherInstance)
{
    auto run = listedRun();
    run.listed = false;
    BOOST_TEST(mayStillArrive(run, requested));
}

BOOST_AUTO_TEST_CASE(orderSentAfterTheRequestMayHaveArrived)
{
    auto run = listedRun();
    run.ordered = requested;
    BOOST_TEST(mayStillArrive(run, requested));
}

BOOST_AUTO_TEST_SUITE_END()
