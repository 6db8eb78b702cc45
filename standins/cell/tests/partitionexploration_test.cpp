#include "seededplays.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <set>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t defaultSeeds = 40;
constexpr std::uint32_t workers = 8;

/// Submits random jobs and injects a few long faults that separate daemons, store and workers from
/// each other, then clears all faults and waits.
class PartitionExploration
{
public:
    explicit PartitionExploration(std::uint32_t seed)
        : m_random(seed)
        , m_nodes(pick(2, 6))
        , m_world(settings(seed))
    { }

    void execute()
    {
        m_world.run(startTime);
        submitJobs(pick(4, 16));
        m_world.run(milliseconds(pick(100, 2000)));
        const auto episodes = pick(1, 4);
        for (std::uint32_t episode = 0; episode < episodes; ++episode) {
            for (auto faults = pick(1, 3); faults > 0; --faults)
                injectFault();
            m_world.run(milliseconds(pick(500, 20000)));
            submitJobs(pick(0, 3));
            if (pick(0, 2) > 0)
                repair();
            m_world.run(milliseconds(pick(0, 4000)));
        }
        repair();
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
        result.workers = workers;
        result.seed = seed;
        result.statusRetention = explorationStatusRetention;
        result.minWorkersForRelay = seed % 3 == 0 ? 1 : result.minWorkersForRelay;
        return result;
    }

    std::uint32_t pick(std::uint32_t low, std::uint32_t high)
    {
        return std::uniform_int_distribution<std::uint32_t>(low, high)(m_random);
    }

    std::uint32_t owner() { return m_world.owner().value_or(pick(0, m_nodes - 1)); }

    void submitJobs(std::uint32_t count)
    {
        for (std::uint32_t job = 0; job < count; ++job) {
            const milliseconds work(pick(200, 15000));
            auto plan = pick(0, 3) == 0 ? gang(pick(2, 4), work) : chain(pick(1, 4), work);
            m_world.submit(pick(0, m_nodes - 1), jobId(m_jobs++), plan);
        }
    }

    std::set<std::uint32_t> randomWorkers()
    {
        std::set<std::uint32_t> result;
        for (std::uint32_t worker = 0; worker < workers; ++worker) {
            if (pick(0, 1) == 0)
                result.insert(worker);
        }
        return result;
    }

    void injectFault()
    {
        const auto node = pick(0, m_nodes - 1);
        switch (pick(0, 11)) {
        case 0:
        case 1:
            m_world.cutOff({ owner() }, randomWorkers(), true);
            break;
        case 2:
            m_world.cutOff({ owner(), node }, randomWorkers(), true);
            break;
        case 3:
            m_world.cutOff({ node }, randomWorkers(), true);
            break;
        case 4:
            m_world.freeze(owner(), milliseconds(pick(500, 15000)));
            break;
        case 5:
            for (const auto worker : randomWorkers())
                m_world.isolateWorkerFrom(owner(), worker, true);
            break;
        case 6:
            for (const auto worker : randomWorkers())
                m_world.isolateWorkerFrom(node, worker, true);
            break;
        case 7:
            m_world.setStoreFault(owner(),
                                  pick(0, 1) == 0 ? StoreFault::LoseReply : StoreFault::ApplyLate);
            break;
        case 8:
            for (std::uint32_t other = 0; other < m_nodes; ++other) {
                if (pick(0, 1) == 0)
                    m_world.cutLink(owner(), other, true);
                else
                    m_world.cutLink(other, owner(), true);
            }
            break;
        case 9:
            m_world.setStoreFaultForAll(pick(0, 1) == 0 ? StoreFault::Refuse : StoreFault::Silent);
            m_world.store().pauseLeases(pick(0, 1) == 0);
            break;
        case 10:
            m_world.kill(node);
            break;
        default:
            for (std::uint32_t index = 0; index < m_nodes; ++index)
                m_world.start(index);
            break;
        }
    }

    void repair()
    {
        std::set<std::uint32_t> allWorkers;
        for (std::uint32_t worker = 0; worker < workers; ++worker)
            allWorkers.insert(worker);
        m_world.setStoreFaultForAll(StoreFault::None);
        for (std::uint32_t node = 0; node < m_nodes; ++node) {
            for (std::uint32_t other = 0; other < m_nodes; ++other)
                m_world.cutLink(node, other, false);
            for (const auto worker : allWorkers)
                m_world.isolateWorkerFrom(node, worker, false);
            m_world.start(node);
        }
        m_world.cutOff({}, allWorkers, false);
    }

    std::mt19937 m_random;
    std::uint32_t m_nodes;
    World m_world;
    std::uint32_t m_jobs = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(partitionexploration)

BOOST_AUTO_TEST_CASE(guaranteesHoldWhenDaemonsAndWorkersAreSeparated)
{
    playSeeds<PartitionExploration>(defaultSeeds, { 54618, 104875, 107774 });
}

BOOST_AUTO_TEST_SUITE_END()
