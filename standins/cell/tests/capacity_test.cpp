#include "seededplays.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Resources wholeCapacity{ 16000, 65536, 0 };
constexpr Resources halfCapacity{ 8000, 32768, 0 };
constexpr Resources quarterCapacity{ 4000, 16384, 0 };
/// Time after which a shrunk capacity limits new tasks.
constexpr std::chrono::milliseconds shrunkTime{ 6000 };

World::Settings workers(std::uint32_t count)
{
    World::Settings settings;
    settings.workers = count;
    return settings;
}

void setCapacities(World &world, std::uint32_t count, const Resources &capacity)
{
    for (std::uint32_t worker = 0; worker < count; ++worker)
        world.setWorkerCapacity(worker, capacity);
}

std::int64_t cpuHeld(World &world, std::uint32_t count)
{
    std::int64_t sum = 0;
    for (std::uint32_t worker = 0; worker < count; ++worker)
        sum += world.worker(worker).held().cpuMillis;
    return sum;
}

/// Cuts the worker off from the store, but not from the nodes; its entry expires 4.5 s later.
void cutOffFromStore(World &world, std::uint32_t worker)
{
    world.cutOff({}, { worker }, true);
    for (std::uint32_t node = 0; node < World::Settings().nodes; ++node)
        world.isolateWorkerFrom(node, worker, false);
}

/// Cuts the node off from the store and from all other nodes, but not from the workers.
void cutOffFromPeers(World &world, std::uint32_t nodes, std::uint32_t node, bool cut)
{
    world.setStoreFault(node, cut ? StoreFault::Silent : StoreFault::None);
    for (std::uint32_t other = 0; other < nodes; ++other) {
        world.cutLink(node, other, cut);
        world.cutLink(other, node, cut);
    }
}

} // namespace

/// Workers that change their capacity while they run. Too many tasks on a worker violate LIMIT.
BOOST_AUTO_TEST_SUITE(capacity)

BOOST_AUTO_TEST_CASE(shrunkWorkerReceivesNoMoreThanItsCapacity)
{
    World world(workers(1));
    world.run(startTime);
    world.submit(0, jobId(1), batch(40, seconds(1)));
    world.run(milliseconds(2500));
    world.setWorkerCapacity(0, halfCapacity);
    world.run(shrunkTime);
    BOOST_TEST(world.worker(0).held().cpuMillis == halfCapacity.cpuMillis);
    world.run(seconds(20));
    expectCompleted(world, 0, 1);
}

BOOST_AUTO_TEST_CASE(workerThatShrinksBelowItsTasksReceivesNoneUntilTheyFit)
{
    World world(workers(1));
    world.run(startTime);
    world.submit(0, jobId(1), batch(4, seconds(12)));
    world.run(seconds(1));
    world.setWorkerCapacity(0, quarterCapacity);
    world.run(seconds(1));
    world.submit(0, jobId(2), batch(3, seconds(1)));
    world.run(seconds(8));
    BOOST_TEST(world.guarantees().starts() == 4U);
    world.run(seconds(20));
    expectCompleted(world, 0, 2);
}

/// A task that needs nothing of the resource that is overcommitted is a start over the capacity.
BOOST_AUTO_TEST_CASE(overcommittedWorkerReceivesNoTasksThatNeedOtherResources)
{
    auto settings = workers(1);
    settings.workerCapacity.accelerators = 2;
    World world(settings);
    world.run(startTime);
    auto accelerated = batch(2, seconds(15));
    accelerated.spec.steps.front().amount.accelerators = 1;
    world.submit(0, jobId(1), accelerated);
    world.run(seconds(1));
    auto capacity = settings.workerCapacity;
    capacity.accelerators = 1;
    world.setWorkerCapacity(0, capacity);
    world.run(shrunkTime);
    world.submit(0, jobId(2), batch(1, seconds(1)));
    world.run(seconds(30));
    expectCompleted(world, 0, 2);
}

BOOST_AUTO_TEST_CASE(workersShrinkWhileStartsAreInFlight)
{
    World world(workers(4));
    world.run(startTime);
    world.setLostAnswerShare(0.3);
    world.setLateOrderShare(0.2);
    world.submit(0, jobId(1), batch(16, seconds(3)));
    world.submit(0, jobId(2), batch(16, seconds(3)));
    world.run(milliseconds(20));
    setCapacities(world, 4, halfCapacity);
    world.run(seconds(15));
    world.setLostAnswerShare(0);
    world.setLateOrderShare(0);
    world.run(seconds(60));
    expectCompleted(world, 0, 2);
}

BOOST_AUTO_TEST_CASE(workersShrinkWhileTheyAreReservedForAGang)
{
    World world(workers(4));
    world.run(startTime);
    world.submit(0, jobId(1), batch(16, seconds(9)));
    world.run(milliseconds(500));
    world.submit(0, jobId(2), gang(8, seconds(1)));
    world.run(seconds(1));
    setCapacities(world, 4, halfCapacity);
    world.run(seconds(60));
    expectCompleted(world, 0, 2);
}

/// A gang that no longer fits waits until the workers grow again.
BOOST_AUTO_TEST_CASE(gangThatNoLongerFitsWaitsForTheCapacity)
{
    World world(workers(2));
    world.run(startTime);
    setCapacities(world, 2, quarterCapacity);
    world.run(shrunkTime);
    world.submit(0, jobId(1), gang(4, seconds(1)));
    world.run(seconds(5));
    BOOST_TEST(world.guarantees().starts() == 0U);
    setCapacities(world, 2, wholeCapacity);
    world.run(seconds(10));
    expectCompleted(world, 0, 1);
}

BOOST_AUTO_TEST_CASE(shrunkCapacityHoldsAcrossOwners)
{
    World world(workers(4));
    world.run(startTime);
    for (std::uint32_t job = 1; job <= 4; ++job)
        world.submit(0, jobId(job), batch(12, seconds(2)));
    world.run(seconds(1));
    setCapacities(world, 4, halfCapacity);
    world.run(milliseconds(100));
    const auto former = world.owner().value();
    world.kill(former);
    world.run(seconds(10));
    world.start(former);
    world.run(seconds(60));
    expectCompleted(world, world.owner().value(), 4);
}

/// The entry of a worker expires while there is no owner: the successor knows the worker only from
/// the roster of its predecessor, which was stored before the worker shrank.
BOOST_AUTO_TEST_CASE(successorDoesNotUseTheFormerCapacityOfAnUnlistedWorker)
{
    World world(workers(2));
    world.run(startTime);
    world.submit(0, jobId(1), batch(2, seconds(1)));
    world.run(seconds(3));
    setCapacities(world, 2, quarterCapacity);
    world.run(shrunkTime);
    for (std::uint32_t job = 2; job <= 4; ++job)
        world.submit(follower(world), jobId(job), batch(8, seconds(8)));
    world.run(seconds(1));
    cutOffFromStore(world, 0);
    world.run(milliseconds(4300));
    const auto former = world.owner().value();
    world.kill(former);
    world.run(seconds(20));
    world.cutOff({}, { 0 }, false);
    setCapacities(world, 2, wholeCapacity);
    world.start(former);
    world.run(seconds(120));
    expectCompleted(world, world.owner().value(), 4);
}

/// Workers need not list a run that is being stopped, so a successor does not see that it still
/// occupies the worker.
BOOST_AUTO_TEST_CASE(successorWaitsForRunsThatItsPredecessorHasStopped)
{
    auto settings = workers(2);
    settings.stopTime = milliseconds(800);
    settings.listsStoppingRuns = false;
    World world(settings);
    world.run(startTime);
    world.submit(0, jobId(1), batch(8, seconds(10)));
    world.run(milliseconds(500));
    world.submit(0, jobId(2), batch(8, seconds(1)));
    world.run(milliseconds(500));
    world.cancel(0, jobId(1));
    world.run(milliseconds(20));
    world.terminate(world.owner().value());
    world.run(seconds(20));
    expectNoViolations(world);
    BOOST_TEST((world.status(0, jobId(2)) == cell::JobStatus::Completed));
}

BOOST_AUTO_TEST_CASE(shrunkCapacityReachesAnOwnerThatUsesAnotherDaemonForTheStore)
{
    World world(workers(4));
    world.run(startTime);
    const auto owner = world.owner().value();
    world.submit(owner, jobId(1), batch(60, seconds(2)));
    world.run(seconds(1));
    world.setStoreFault(owner, StoreFault::Silent);
    world.run(seconds(1));
    setCapacities(world, 4, halfCapacity);
    world.run(seconds(12));
    BOOST_TEST(cpuHeld(world, 4) <= 4 * halfCapacity.cpuMillis);
    world.setStoreFault(owner, StoreFault::None);
    world.run(seconds(40));
    expectCompleted(world, owner, 1);
}

/// The owner reaches only the workers, so it cannot learn that they shrink.
BOOST_AUTO_TEST_CASE(ownerWithoutStoreAndDaemonsDoesNotUseFormerCapacities)
{
    World world(workers(4));
    world.run(startTime);
    const auto owner = world.owner().value();
    world.submit(owner, jobId(1), batch(300, milliseconds(500)));
    world.run(seconds(1));
    cutOffFromPeers(world, World::Settings().nodes, owner, true);
    world.run(milliseconds(100));
    setCapacities(world, 4, quarterCapacity);
    world.run(seconds(15));
    cutOffFromPeers(world, World::Settings().nodes, owner, false);
    setCapacities(world, 4, wholeCapacity);
    world.run(seconds(60));
    expectCompleted(world, owner, 1);
}

BOOST_AUTO_TEST_CASE(workerThatCannotReportItsCapacityReceivesNoMoreThanItHas)
{
    World world(workers(2));
    world.run(startTime);
    world.submit(0, jobId(1), batch(300, milliseconds(300)));
    world.run(seconds(1));
    cutOffFromStore(world, 0);
    world.run(milliseconds(100));
    world.setWorkerCapacity(0, quarterCapacity);
    world.run(seconds(15));
    world.cutOff({}, { 0 }, false);
    world.run(seconds(60));
    expectCompleted(world, 0, 1);
}

BOOST_AUTO_TEST_CASE(grownWorkersAreUsedAgain)
{
    World world(workers(2));
    world.run(startTime);
    setCapacities(world, 2, quarterCapacity);
    world.run(shrunkTime);
    world.submit(0, jobId(1), batch(16, seconds(4)));
    world.run(seconds(2));
    BOOST_TEST(cpuHeld(world, 2) == 2 * quarterCapacity.cpuMillis);
    setCapacities(world, 2, wholeCapacity);
    world.run(seconds(1));
    BOOST_TEST(cpuHeld(world, 2) == 2 * wholeCapacity.cpuMillis);
    world.run(seconds(20));
    expectCompleted(world, 0, 1);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

constexpr std::uint32_t defaultSeeds = 10;
constexpr std::uint32_t explorationWorkers = 6;
constexpr Resources explorationCapacity{ 16000, 65536, 2 };

/// Submits random jobs while workers change their capacities and other faults occur, then clears
/// all faults and waits.
class CapacityExploration
{
public:
    explicit CapacityExploration(std::uint32_t seed)
        : m_random(seed)
        , m_nodes(pick(2, 5))
        , m_world(settings(seed))
    { }

    void execute()
    {
        m_world.run(startTime);
        submitJobs(pick(4, 12));
        for (auto episodes = pick(4, 12); episodes > 0; --episodes) {
            for (auto changes = pick(1, explorationWorkers); changes > 0; --changes)
                changeCapacity();
            if (pick(0, 2) > 0)
                injectFault();
            m_world.run(milliseconds(pick(20, 8000)));
            submitJobs(pick(0, 4));
            if (pick(0, 1) > 0)
                repair();
        }
        repair();
        setCapacities(m_world, explorationWorkers, explorationCapacity);
        m_world.run(seconds(60));
        for (std::uint32_t job = 0; job < m_jobs; ++job)
            static_cast<void>(m_world.status(pick(0, m_nodes - 1), jobId(job)));
    }

    [[nodiscard]] World &world() { return m_world; }
    [[nodiscard]] std::uint32_t nodeCount() const { return m_nodes; }

private:
    World::Settings settings(std::uint32_t seed) const
    {
        World::Settings result;
        result.nodes = m_nodes;
        result.workers = explorationWorkers;
        result.workerCapacity = explorationCapacity;
        result.seed = seed;
        result.statusRetention = explorationStatusRetention;
        result.stopTime = milliseconds(seed % 2 == 0 ? 50 : 800);
        result.listsStoppingRuns = seed % 4 < 2;
        result.minWorkersForRelay = seed % 3 == 0 ? 1 : result.minWorkersForRelay;
        return result;
    }

    std::uint32_t pick(std::uint32_t low, std::uint32_t high)
    {
        return std::uniform_int_distribution<std::uint32_t>(low, high)(m_random);
    }

    std::uint32_t owner() { return m_world.owner().value_or(pick(0, m_nodes - 1)); }
    std::uint32_t randomWorker() { return pick(0, explorationWorkers - 1); }

    void submitJobs(std::uint32_t count)
    {
        for (std::uint32_t job = 0; job < count; ++job) {
            const milliseconds work(pick(200, 6000));
            auto plan = pick(0, 3) == 0 ? gang(pick(2, 6), work) : chain(pick(1, 6), work);
            plan.spec.steps.front().amount.accelerators = pick(0, 3) == 0 ? 1 : 0;
            m_world.submit(pick(0, m_nodes - 1), jobId(m_jobs++), plan);
        }
    }

    void changeCapacity()
    {
        const std::int64_t cpuQuarters = pick(0, 4);
        const std::int64_t memoryQuarters = pick(1, 4);
        m_world.setWorkerCapacity(randomWorker(),
                                  { quarterCapacity.cpuMillis * cpuQuarters,
                                    quarterCapacity.memoryMb * memoryQuarters, pick(0, 2) });
    }

    void injectFault()
    {
        switch (pick(0, 10)) {
        case 0:
            m_world.kill(owner());
            break;
        case 1:
            m_world.terminate(owner());
            break;
        case 2:
            m_world.freeze(owner(), milliseconds(pick(500, 6000)));
            break;
        case 3:
            m_world.setStoreFault(owner(), StoreFault::Silent);
            break;
        case 4:
            m_world.setLostAnswerShare(0.2);
            break;
        case 5:
            m_world.setLateOrderShare(0.2);
            break;
        case 6:
            m_world.crashWorker(randomWorker());
            break;
        case 7:
            m_world.replaceWorker(randomWorker(), milliseconds(pick(500, 4000)));
            break;
        case 8:
            cutOffFromPeers(m_world, m_nodes, owner(), true);
            break;
        case 9:
            m_world.cutOff({}, { randomWorker() }, true);
            break;
        default:
            m_world.isolateWorkerFrom(owner(), randomWorker(), true);
            break;
        }
    }

    void repair()
    {
        m_world.setStoreFaultForAll(StoreFault::None);
        m_world.setLostAnswerShare(0);
        m_world.setLateOrderShare(0);
        for (std::uint32_t worker = 0; worker < explorationWorkers; ++worker)
            m_world.cutOff({}, { worker }, false);
        for (std::uint32_t node = 0; node < m_nodes; ++node) {
            cutOffFromPeers(m_world, m_nodes, node, false);
            for (std::uint32_t worker = 0; worker < explorationWorkers; ++worker)
                m_world.isolateWorkerFrom(node, worker, false);
            m_world.start(node);
        }
    }

    std::mt19937 m_random;
    std::uint32_t m_nodes;
    World m_world;
    std::uint32_t m_jobs = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(capacityexploration)

BOOST_AUTO_TEST_CASE(guaranteesHoldWhenWorkersChangeTheirCapacities)
{
    playSeeds<CapacityExploration>(defaultSeeds, { 50515, 51423, 53163, 53535 });
}

BOOST_AUTO_TEST_SUITE_END()
