#include <workertable.h>

#include <boost/test/unit_test.hpp>

using namespace cowsliprock;
using cell::Run;
using std::chrono::seconds;

namespace {

constexpr TimePoint ordered{ seconds(100) };
constexpr TimePoint asked{ seconds(101) };

/// A run that the former life of its worker has listed.
Run listedRun()
{
    Run run;
    run.ordered = ordered;
    run.phase = cell::RunPhase::Running;
    run.listed = true;
    return run;
}

} // namespace

/// What the ledger of a worker says of runs whose worker has begun a new life.
BOOST_AUTO_TEST_SUITE(workertable)

BOOST_AUTO_TEST_CASE(listedRunEndedWithItsLife)
{
    BOOST_TEST(!mayStillCome(listedRun(), asked));
}

BOOST_AUTO_TEST_CASE(orderThatIsBeingRepeatedMayComeToTheNewLife)
{
    auto run = listedRun();
    run.startOpen = true;
    BOOST_TEST(mayStillCome(run, asked));
}

BOOST_AUTO_TEST_CASE(orderOfUnknownFateMayComeToTheNewLife)
{
    auto run = listedRun();
    run.outcomeUnknown = true;
    BOOST_TEST(mayStillCome(run, asked));
}

BOOST_AUTO_TEST_CASE(acceptedRunThatNobodyListedMayBelongToEitherLife)
{
    auto run = listedRun();
    run.listed = false;
    BOOST_TEST(mayStillCome(run, asked));
}

BOOST_AUTO_TEST_CASE(orderSentAfterTheQuestionMayHaveComeSince)
{
    auto run = listedRun();
    run.ordered = asked;
    BOOST_TEST(mayStillCome(run, asked));
}

BOOST_AUTO_TEST_SUITE_END()
