#include <workertable.h>

#include <boost/test/unit_test.hpp>

#include <string>

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

/// Its time of confirmation is unset. Counted as long work, its loss cleared the crashes of its
/// task, and its failure was no evidence against the worker.
BOOST_AUTO_TEST_CASE(runThatIsStoppedBeforeItsConfirmationHasNotWorkedLong)
{
    Run run;
    run.ordered = ordered;
    run.phase = cell::RunPhase::Stopping;
    BOOST_TEST(!worksLong(run, requested));
    run.confirmed = ordered;
    BOOST_TEST(!worksLong(run, requested));
    BOOST_TEST(worksLong(run, ordered + seconds(6)));
}

BOOST_AUTO_TEST_CASE(orderSentAfterTheRequestMayHaveArrived)
{
    auto run = listedRun();
    run.ordered = requested;
    BOOST_TEST(mayStillArrive(run, requested));
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

constexpr TimePoint start{ seconds(200) };

/// Records that runs of two jobs have failed.
bool failTwice(cell::Worker &worker, TimePoint time)
{
    cell::recordFailure(worker, { "a", time, false }, time);
    return cell::recordFailure(worker, { "b", time, false }, time);
}

Run workingSince(TimePoint time)
{
    Run run;
    run.ordered = time;
    run.confirmed = time;
    run.phase = cell::RunPhase::Running;
    return run;
}

} // namespace

/// Which failures of runs exclude a worker, and for how long.
BOOST_AUTO_TEST_SUITE(workerhealth)

BOOST_AUTO_TEST_CASE(workerThatFailsTasksOfSeveralJobsIsExcluded)
{
    cell::Worker worker;
    BOOST_TEST(failTwice(worker, start));
    cell::quarantine(worker, start);
    BOOST_TEST(worker.health.excludedAt(start + seconds(3)));
    BOOST_TEST(!worker.health.excludedAt(start + seconds(4)));
}

BOOST_AUTO_TEST_CASE(runsOfTheTimeBeforeAQuarantineDoNotProlongIt)
{
    cell::Worker worker;
    BOOST_REQUIRE(failTwice(worker, start));
    cell::quarantine(worker, start + seconds(1));
    BOOST_TEST(!cell::recordFailure(worker, { "c", start, false }, start + seconds(2)));
    BOOST_TEST(cell::recordFailure(worker, { "d", start + seconds(6), false }, start + seconds(7)));
}

BOOST_AUTO_TEST_CASE(failureOfALongRunningTaskThatWorkedIsNoFaultOfItsWorker)
{
    cell::Worker worker;
    for (int number = 0; number < 20; ++number)
        BOOST_TEST(!cell::recordFailure(worker, { std::to_string(number), start, true }, start));
}

BOOST_AUTO_TEST_CASE(runThatWorksForLongShowsItsWorkerToBeSound)
{
    cell::Worker worker;
    cell::recordFailure(worker, { "a", start, false }, start);
    const auto run = workingSince(start + seconds(1));
    cell::recordProgress(worker, run, start + seconds(2));
    BOOST_TEST(worker.health.consecutiveFailures == 1U);
    cell::recordProgress(worker, run, start + seconds(7));
    BOOST_TEST(worker.health.consecutiveFailures == 0U);
}

BOOST_AUTO_TEST_CASE(runStartedBeforeAFailureDoesNotOutweighIt)
{
    cell::Worker worker;
    cell::recordFailure(worker, { "a", start, false }, start);
    cell::recordProgress(worker, workingSince(start - seconds(10)), start + seconds(1));
    BOOST_TEST(worker.health.consecutiveFailures == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
