#include "seededplays.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <set>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t defaultSeeds = 40;
constexpr std::uint32_t nodes = 4;
constexpr std::uint32_t workers = 8;
constexpr std::uint32_t steps = 60;
/// In bytes per second; about twice the load of an exploration.
constexpr double slowLinkRate = 40000;
constexpr std::chrono::microseconds slowEventCost{ 300 };
constexpr std::chrono::microseconds slowInspectionCost{ 500 };

/// Submits random jobs and injects random, overlapping faults, then clears all faults and waits.
class Exploration
{
public:
    explicit Exploration(std::uint32_t seed)
        : Exploration(seed, {})
    { }
    virtual ~Exploration() = default;
    Exploration(const Exploration &) = delete;
    Exploration &operator=(const Exploration &) = delete;

    void execute()
    {
        m_world.run(startTime);
        for (std::uint32_t step = 0; step < steps; ++step) {
            beforeStep();
            submitRandomJob();
            injectFault();
            m_world.run(milliseconds(pick(50, 500)));
        }
        beforeRepair();
        repair();
        m_world.run(seconds(30));
        for (std::uint32_t job = 0; job < m_jobs; ++job)
            static_cast<void>(m_world.status(pick(0, nodes - 1), jobId(job)));
    }

    [[nodiscard]] World &world() { return m_world; }
    [[nodiscard]] std::uint32_t nodeCount() const { return nodes; }

protected:
    Exploration(std::uint32_t seed, const std::vector<CustomerPlan> &customers)
        : m_random(seed)
        , m_world(settings(seed, customers))
    { }

    virtual void beforeStep() { }
    virtual void beforeRepair() { }
    virtual std::string drawCustomer() { return {}; }

private:
    static World::Settings settings(std::uint32_t seed, const std::vector<CustomerPlan> &customers)
    {
        World::Settings result;
        result.customers = customers;
        result.nodes = nodes;
        result.workers = workers;
        result.seed = seed;
        result.statusRetention = explorationStatusRetention;
        result.advice = seed % 3 == 0;
        // Every second cell calls its workers through relays, and some have slow links.
        result.minWorkersForRelay = seed % 2 == 1 ? 1 : result.minWorkersForRelay;
        result.linkBytesPerSecond = seed % 5 == 0 ? slowLinkRate : 0;
        // Others have slow CPUs: a scheduling pass over a few jobs takes longer than a call.
        if (seed % 4 == 0) {
            result.eventCost = slowEventCost;
            result.inspectionCost = slowInspectionCost;
        }
        return result;
    }

    std::uint32_t pick(std::uint32_t low, std::uint32_t high)
    {
        return std::uniform_int_distribution<std::uint32_t>(low, high)(m_random);
    }

    void submitRandomJob()
    {
        auto plan = batch(pick(1, 4), milliseconds(pick(50, 1500)));
        if (pick(0, 2) == 0)
            plan.spec.steps.front().gang = true;
        if (pick(0, 3) == 0) {
            plan.spec.steps.push_back(plan.spec.steps.front());
            plan.spec.steps.back().after = { 0 };
        }
        if (plan.spec.steps.size() == 2 && pick(0, 2) == 0) {
            plan.spec.steps.push_back(plan.spec.steps.front());
            plan.spec.steps.back().after = { pick(0, 1) };
        }
        if (pick(0, 3) == 0) {
            for (auto &step : plan.spec.steps)
                step.speculative = !step.gang;
        }
        plan.customer = drawCustomer();
        if (pick(0, 9) == 0)
            plan.failingRuns = { 1 };
        if (pick(0, 19) == 0)
            plan.failingRuns = { 1, 2 };
        m_world.submit(pick(0, nodes - 1), jobId(m_jobs++), plan);
        if (pick(0, 9) == 0)
            m_world.cancel(pick(0, nodes - 1), jobId(pick(0, m_jobs - 1)));
    }

    void injectFault()
    {
        const auto node = pick(0, nodes - 1);
        const auto worker = pick(0, workers - 1);
        switch (pick(0, 29)) {
        case 0:
            m_world.kill(node);
            break;
        case 1:
            m_world.kill(m_world.owner().value_or(node));
            break;
        case 2:
            m_world.freeze(node, milliseconds(pick(300, 4000)));
            break;
        case 3:
            m_world.terminate(m_world.owner().value_or(node));
            break;
        case 4:
            m_world.setStoreFault(node, StoreFault::Refuse);
            break;
        case 5:
            m_world.setStoreFault(node, pick(0, 1) == 0 ? StoreFault::Silent : StoreFault::Reset);
            break;
        case 6:
            m_world.setStoreFault(node,
                                  pick(0, 1) == 0 ? StoreFault::LoseReply : StoreFault::ApplyLate);
            break;
        case 7:
            m_world.isolateWorker(worker, true);
            break;
        case 8:
            m_world.isolateWorker(worker, false);
            break;
        case 9:
            m_world.crashWorker(worker);
            break;
        case 10:
            m_world.compactStore();
            break;
        case 11:
            m_world.setStoreFaultForAll(std::array{ StoreFault::Refuse, StoreFault::Silent,
                                                    StoreFault::Reset }[pick(0, 2)]);
            break;
        case 12:
        case 13:
            m_world.setStoreFaultForAll(StoreFault::None);
            break;
        case 14:
            m_world.setLinkShare(0.1 * pick(1, 10));
            break;
        case 15:
            m_world.setLateOrderShare(0.1 * pick(1, 5));
            break;
        case 16:
            m_world.setLateOrderShare(0);
            break;
        case 17:
            m_world.injectUnexpectedError(m_world.owner().value_or(node));
            break;
        case 18:
            m_world.isolateWorkerFrom(node, worker, true);
            break;
        case 19:
            m_world.isolateWorkerFrom(node, worker, false);
            break;
        case 20:
            m_world.drainWorker(worker);
            m_drained.insert(worker);
            break;
        case 21:
            m_world.removeWorker(worker);
            break;
        case 22:
            m_world.setWorkerSpeed(worker, 0.1 * pick(0, 5));
            break;
        case 23:
            m_world.setWorkerSpeed(worker, 1);
            break;
        case 24:
            m_world.setLostAnswerShare(0.1 * pick(0, 3));
            break;
        case 25:
            m_world.setExtraDelay(milliseconds(10 * pick(0, 3)));
            break;
        case 26:
            cutOffRandomGroup(m_world.owner().value_or(node));
            break;
        case 27:
            reconnectAll();
            break;
        case 28:
            m_world.cutLink(node, pick(0, nodes - 1), true);
            break;
        default:
            for (std::uint32_t index = 0; index < nodes; ++index)
                m_world.start(index);
            break;
        }
    }

    /// Cuts the node, and possibly others, off from the store with a part of the workers.
    void cutOffRandomGroup(std::uint32_t node)
    {
        std::set<std::uint32_t> cutNodes{ node };
        if (pick(0, 2) == 0)
            cutNodes.insert(pick(0, nodes - 1));
        std::set<std::uint32_t> cutWorkers;
        for (std::uint32_t worker = 0; worker < workers; ++worker) {
            if (pick(0, 1) == 0)
                cutWorkers.insert(worker);
        }
        m_world.cutOff(cutNodes, cutWorkers, true);
    }

    void reconnectAll()
    {
        std::set<std::uint32_t> allWorkers;
        for (std::uint32_t worker = 0; worker < workers; ++worker) {
            allWorkers.insert(worker);
            for (std::uint32_t node = 0; node < nodes; ++node)
                m_world.isolateWorkerFrom(node, worker, false);
        }
        for (std::uint32_t node = 0; node < nodes; ++node) {
            m_world.setStoreFault(node, StoreFault::None);
            for (std::uint32_t other = 0; other < nodes; ++other)
                m_world.cutLink(node, other, false);
        }
        m_world.cutOff({}, allWorkers, false);
    }

    void repair()
    {
        reconnectAll();
        m_world.setStoreFaultForAll(StoreFault::None);
        m_world.setLinkShare(1);
        m_world.setLateOrderShare(0);
        m_world.setLostAnswerShare(0);
        m_world.setExtraDelay({});
        for (std::uint32_t index = 0; index < nodes; ++index)
            m_world.start(index);
        // New workers replace the draining ones.
        for (const auto index : m_drained)
            m_world.removeWorker(index);
        for (std::uint32_t index = 0; index < workers; ++index) {
            for (std::uint32_t node = 0; node < nodes; ++node)
                m_world.isolateWorkerFrom(node, index, false);
            m_world.isolateWorker(index, false);
            m_world.setWorkerSpeed(index, 1);
        }
    }

    std::mt19937 m_random;
    World m_world;
    std::uint32_t m_jobs = 0;
    std::set<std::uint32_t> m_drained;
};

constexpr std::uint32_t customers = 3;
constexpr std::int64_t cpuPerTask = 4000;
/// Quota of each customer at the end, which permits any job.
constexpr std::int64_t largestQuota = 16 * cpuPerTask;

std::vector<CustomerPlan> customersWithQuota(std::int64_t cpuMillis)
{
    std::vector<CustomerPlan> plans;
    for (std::uint32_t index = 0; index < customers; ++index) {
        const auto name = "customer-" + std::to_string(index);
        plans.push_back({ { name, 1.0, { cpuMillis, 0, 0 } }, { name } });
    }
    return plans;
}

/// An exploration in which the jobs belong to customers, whose quotas change.
class CustomerExploration final : public Exploration
{
public:
    explicit CustomerExploration(std::uint32_t seed)
        : Exploration(seed, customersWithQuota(largestQuota / 2))
        , m_customerRandom(seed)
    { }

private:
    std::uint32_t draw(std::uint32_t low, std::uint32_t high)
    {
        return std::uniform_int_distribution<std::uint32_t>(low, high)(m_customerRandom);
    }

    std::string drawCustomer() override
    {
        // Some jobs have no customer.
        const auto index = draw(0, customers);
        return index == customers ? std::string() : "customer-" + std::to_string(index);
    }

    void beforeStep() override
    {
        if (draw(0, 9) == 0)
            world().changeCustomers(customersWithQuota(cpuPerTask * draw(1, 10)));
    }

    void beforeRepair() override { world().changeCustomers(customersWithQuota(largestQuota)); }

    std::mt19937 m_customerRandom;
};

} // namespace

BOOST_AUTO_TEST_SUITE(exploration)

BOOST_AUTO_TEST_CASE(guaranteesHoldUnderOverlappingFaults)
{
    playSeeds<Exploration>(defaultSeeds,
                           { 50689, 50917, 51171, 100821, 103814, 110610, 116182, 117745 });
}

/// Guards against starts above a quota: after a take-over, while starts are unanswered, and after a
/// reduction of the quota.
BOOST_AUTO_TEST_CASE(quotasHoldUnderOverlappingFaults)
{
    playSeeds<CustomerExploration>(defaultSeeds);
}

BOOST_AUTO_TEST_SUITE_END()
