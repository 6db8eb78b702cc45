#include "testjobs.h"

#include <placement.h>
#include <reservations.h>

#include <boost/test/unit_test.hpp>

#include <optional>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using cell::JobStatus;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t workerCount = 8;

cell::QueueSettings queue(const char *name, std::uint32_t priority)
{
    cell::QueueSettings queue;
    queue.name = name;
    queue.host = "h";
    queue.prefix = std::string("/") + name + "/";
    queue.service = "s";
    queue.priority = priority;
    queue.maxAttempts = World::maxAttempts;
    queue.extension = 1.5;
    queue.targetRuntime = seconds(3);
    queue.timeout = seconds(3);
    return queue;
}

World::Settings threeQueues()
{
    World::Settings settings;
    settings.workers = workerCount;
    settings.queues = { queue("urgent", 0), queue("batch", 1), queue("later", 2) };
    return settings;
}

World::JobPlan tasks(std::uint32_t count, std::int64_t cpuMillis, Duration work)
{
    auto plan = batch(count, work);
    plan.spec.steps.front().amount = { cpuMillis, 100, 0 };
    return plan;
}

World::JobPlan gangOf(std::uint32_t count, std::int64_t cpuMillis, Duration work)
{
    auto plan = tasks(count, cpuMillis, work);
    plan.spec.steps.front().gang = true;
    return plan;
}

/// Tasks that last, one on each worker.
World::JobPlan lastingOnEachWorker(std::int64_t cpuMillis)
{
    auto plan = tasks(workerCount, cpuMillis, seconds(1000));
    plan.queue = "later";
    plan.spec.steps.front().estimate = milliseconds(300);
    plan.spec.steps.front().longRunning = true;
    plan.spec.steps.front().maxPerWorker = 1;
    return plan;
}

/// A cell with jobs that are numbered in the order of their submission.
class Cell
{
public:
    explicit Cell(const World::Settings &settings = threeQueues())
        : m_world(settings)
    {
        m_world.run(startTime);
    }

    World &world() noexcept { return m_world; }

    std::string submit(const World::JobPlan &plan)
    {
        auto id = jobId(++m_jobs);
        m_world.submit(0, id, plan);
        return id;
    }

    /// Submits a job of the plan at each interval for some time.
    void submitEvery(Duration interval, Duration time, const World::JobPlan &plan)
    {
        for (Duration passed{}; passed < time; passed += interval) {
            submit(plan);
            m_world.run(interval);
        }
    }

    std::optional<JobStatus> status(const std::string &id) { return m_world.status(1, id); }
    bool completed(const std::string &id) { return status(id) == JobStatus::Completed; }
    bool waits(const std::string &id) { return status(id) == JobStatus::Queued; }

private:
    World m_world;
    std::uint32_t m_jobs = 0;
};

/// Submits a gang that needs most of each worker beside a stream of small jobs, which goes on for
/// \p time; returns whether the gang is completed by then.
bool gangIsCompletedBeside(Cell &cell, const World::JobPlan &small, Duration time)
{
    cell.submitEvery(milliseconds(140), seconds(4), small);
    const auto waiting = cell.submit(gangOf(workerCount, 14000, seconds(1)));
    cell.submitEvery(milliseconds(140), time, small);
    return cell.completed(waiting);
}

} // namespace

/// What gangs that wait for room may keep from other work, and what other work may keep from them.
BOOST_AUTO_TEST_SUITE(waitinggangs)

/// Guards against workers that are kept for a gang though the less urgent tasks there never end.
BOOST_AUTO_TEST_CASE(gangThatCannotFitKeepsNoRoom)
{
    Cell cell;
    cell.submit(lastingOnEachWorker(4000));
    cell.world().run(seconds(1));
    const auto waiting = cell.submit(gangOf(workerCount, 14000, seconds(12)));
    cell.world().run(seconds(1));
    const auto same = cell.submit(tasks(1, 1000, milliseconds(500)));
    auto plan = tasks(1, 1000, milliseconds(500));
    plan.queue = "later";
    const auto less = cell.submit(plan);
    cell.world().run(seconds(1));
    BOOST_TEST(cell.completed(same));
    BOOST_TEST(cell.completed(less));
    BOOST_TEST(cell.waits(waiting));
    expectNoViolations(cell.world());
}

/// Guards against hopeless gangs that take the place of one that could have room reserved.
BOOST_AUTO_TEST_CASE(gangsThatCannotFitDoNotKeepOthersFromTheirRoom)
{
    Cell cell;
    cell.submit(lastingOnEachWorker(4000));
    cell.world().run(seconds(1));
    for (int hopeless = 0; hopeless < 5; ++hopeless)
        cell.submit(gangOf(workerCount, 14000, seconds(12)));
    const auto small = tasks(1, 2000, seconds(2));
    cell.submitEvery(milliseconds(140), seconds(4), small);
    const auto possible = cell.submit(gangOf(workerCount, 12000, seconds(1)));
    cell.submitEvery(milliseconds(140), seconds(6), small);
    BOOST_TEST(cell.completed(possible));
    expectNoViolations(cell.world());
}

/// Guards against a gang that waits for ever beside small jobs of its own priority, which use a
/// fifth of the cell.
BOOST_AUTO_TEST_CASE(gangStartsBesideSmallJobsOfItsPriority)
{
    Cell cell;
    BOOST_TEST(gangIsCompletedBeside(cell, tasks(1, 2000, seconds(2)), milliseconds(4500)));
    expectNoViolations(cell.world());
}

/// Guards against a gang that work with estimates far below its time passes again and again.
BOOST_AUTO_TEST_CASE(gangStartsBesideSmallJobsWithWrongEstimates)
{
    Cell cell;
    auto small = tasks(1, 2000, seconds(3));
    small.spec.steps.front().estimate = seconds(1);
    BOOST_TEST(gangIsCompletedBeside(cell, small, seconds(12)));
    expectNoViolations(cell.world());
}

/// Guards against a worker that is closed to work that leaves the gang's room untouched, or that
/// ends before the gang can start.
BOOST_AUTO_TEST_CASE(workThatDoesNotDelayAWaitingGangIsStarted)
{
    Cell cell;
    cell.submit(tasks(workerCount, 8000, seconds(8)));
    cell.world().run(seconds(1));
    const auto waiting = cell.submit(gangOf(workerCount, 14000, seconds(1)));
    cell.world().run(milliseconds(200));
    const auto beside = cell.submit(tasks(1, 1000, seconds(20)));
    const auto before = cell.submit(tasks(1, 6000, seconds(3)));
    const auto delaying = cell.submit(tasks(1, 6000, seconds(20)));
    cell.world().run(seconds(1));
    BOOST_TEST(!cell.waits(beside));
    BOOST_TEST(!cell.waits(before));
    BOOST_TEST(cell.waits(delaying));
    cell.world().run(seconds(8));
    BOOST_TEST(cell.completed(before));
    BOOST_TEST(cell.completed(waiting));
    BOOST_TEST(!cell.waits(delaying));
    expectNoViolations(cell.world());
}

/// Guards against room that is kept without end for a gang whose tickets always come too late.
BOOST_AUTO_TEST_CASE(gangWithoutValidTicketsKeepsRoomForAMomentOnly)
{
    auto settings = threeQueues();
    settings.adviceAllowedShare = 1;
    settings.queues.push_back(queue("advised", 1));
    settings.queues.back().advice = cell::AdviceSettings{ milliseconds(400), {}, milliseconds(1) };
    Cell cell(settings);
    auto plan = gangOf(workerCount, 14000, seconds(1000));
    plan.queue = "advised";
    plan.spec.steps.front().longRunning = true;
    const auto waiting = cell.submit(plan);
    cell.world().run(seconds(5));
    for (int round = 0; round < 3; ++round) {
        const auto small = cell.submit(tasks(1, 4000, milliseconds(200)));
        cell.world().run(seconds(3));
        BOOST_TEST(cell.completed(small));
    }
    BOOST_TEST(cell.waits(waiting));
    expectNoViolations(cell.world());
}

/// Guards against work within the guaranteed rate of its customer that yields to gangs above it.
BOOST_AUTO_TEST_CASE(roomOfAnExcessGangIsKeptFromExcessWorkOnly)
{
    cell::Worker worker;
    worker.entry.id = "w";
    worker.entry.capacity = { 16000, 65536, 0 };
    cell::Reservations reservations;
    cell::KeptRoom room;
    room.gang = { "gang" };
    room.excess = true;
    reservations.keep("w", room);
    cell::StepSpec spec;
    cell::StepDemand demand;
    demand.spec = &spec;
    BOOST_TEST((reservations.availableTo(demand, worker, worker.free()) == worker.free()));
    demand.excess = true;
    BOOST_TEST((reservations.availableTo(demand, worker, worker.free()) == Resources()));
}

/// Guards against room that a successor keeps for ever, or that nobody keeps after a take-over.
BOOST_AUTO_TEST_CASE(gangStartsAfterATakeOver)
{
    Cell cell;
    const auto small = tasks(1, 2000, seconds(2));
    cell.submitEvery(milliseconds(140), seconds(4), small);
    const auto waiting = cell.submit(gangOf(workerCount, 14000, seconds(1)));
    cell.world().run(milliseconds(500));
    const auto owner = cell.world().owner().value();
    cell.world().kill(owner);
    cell.submitEvery(milliseconds(140), seconds(4), small);
    cell.world().start(owner);
    cell.submitEvery(milliseconds(140), seconds(8), small);
    BOOST_TEST(cell.completed(waiting));
    const auto last = cell.submit(tasks(workerCount, 15000, seconds(1)));
    cell.world().run(seconds(5));
    BOOST_TEST(cell.completed(last));
    expectNoViolations(cell.world());
}

BOOST_AUTO_TEST_SUITE_END()
