#include "jobs.h"

#include <cstdlib>
#include <iostream>
#include <random>
#include <set>

using namespace cowsliprock;
using namespace cowsliprock::test;
using namespace std::chrono_literals;

namespace {

/// 2 s message delay (messages take up to 3 s, but the reservation expires after 2 s), 2 s send
/// limit and 7 s until the call reaches the worker.
constexpr Duration maximumStartDelayAfterCancel = 11s;

std::uint64_t seedCount()
{
    const char *text = std::getenv("COWSLIPROCK_EXPLORATION_SEEDS");
    return text == nullptr ? 200 : std::strtoull(text, nullptr, 10);
}

std::uint64_t firstSeed()
{
    const char *text = std::getenv("COWSLIPROCK_EXPLORATION_FIRST");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

/// Runs random operations and faults for 60 s, then runs without faults until all jobs must have
/// ended.
class Exploration
{
public:
    explicit Exploration(std::uint64_t seed)
        : m_random(seed * 7919)
        , m_world({ seed, 3, 9, 6 })
    {
        m_world.setConfiguration(testConfiguration());
        const auto share = [this] { return static_cast<double>(randomBelow(5)) / 100; };
        m_world.faults = { share(), share(), share(), share(), share(), share(), share() };
        for (int number = 0; number < 9; ++number)
            m_world.worker(number).failureShare = number == 0 ? 0.5 : 0.02;
    }

    std::vector<std::string> run()
    {
        for (int step = 0; step < 120; ++step) {
            performRandomAction();
            m_world.run(500ms);
            collectAnswers();
        }
        runWithoutFaults();
        checkOutcomes();
        return m_world.violations().empty() ? m_failures : m_world.violations();
    }

    [[nodiscard]] std::string trace() const { return m_world.trace(); }

private:
    int randomBelow(int count)
    {
        return static_cast<int>(m_random() % static_cast<unsigned>(count));
    }

    void performRandomAction()
    {
        switch (randomBelow(14)) {
        case 0:
        case 1:
        case 2:
        case 3:
            return submit();
        case 4:
        case 5:
            return cancel();
        case 6:
            return m_pausedDaemon < 0 ? pause() : resume();
        case 7:
            return resume();
        case 8:
            m_world.storeDown = randomBelow(3) == 0;
            return;
        case 9:
            if (randomBelow(4) == 0 && m_pausedDaemon < 0)
                m_world.drain(randomBelow(3));
            return;
        case 10:
            if (m_endedVms < 2 && randomBelow(4) == 0)
                m_world.endVm(8 - m_endedVms++);
            return;
        case 11:
            m_world.worker(1).refuses = randomBelow(2) == 0;
            m_world.worker(2 + randomBelow(4)).isolated = randomBelow(3) == 0;
            return;
        default:
            return;
        }
    }

    void submit()
    {
        json changes{
            { "taskCount", 1 + randomBelow(4) },
            { "expectedRunTimeMs", 500 + randomBelow(randomBelow(3) == 0 ? 60'000 : 15'000) },
            { "policy", randomBelow(2) == 0 ? "pack" : "spread" },
            { "perTask", { { "cpuMillis", 1'000 * (1 + randomBelow(8)) }, { "memoryMb", 4'000 } } }
        };
        const int kind = randomBelow(8);
        if (kind < 3)
            changes.update({ { "name", "exclusive" }, { "exclusive", true } });
        else if (kind == 3)
            changes.update({ { "priority", "urgent" }, { "mayYield", false } });
        else if (kind < 6)
            changes.update({ { "kind", "gang" } });
        if (kind == 5)
            changes.update({ { "name", "exclusive gang" }, { "exclusive", true } });
        const bool service = kind == 7 && m_servicesSubmitted++ < 2;
        m_submits.insert(m_world.call(randomBelow(3), "submit",
                                      service ? R"({"name": "planner"})" : jobBody(changes)));
    }

    void cancel()
    {
        if (m_jobs.empty())
            return;
        const JobId id =
            m_jobs[static_cast<std::size_t>(randomBelow(static_cast<int>(m_jobs.size())))];
        m_cancels[m_world.call(randomBelow(3), "cancel", idBody(id))] = id;
    }

    void pause()
    {
        m_pausedDaemon = randomBelow(3);
        m_world.pause(m_pausedDaemon);
    }

    void resume()
    {
        if (m_pausedDaemon >= 0)
            m_world.resume(m_pausedDaemon);
        m_pausedDaemon = -1;
    }

    /// Processes the answers that have arrived.
    void collectAnswers()
    {
        std::erase_if(m_submits, [&](const OperationId &operation) {
            const auto answer = m_world.answer(operation);
            if (answer && answer->httpStatus == 202)
                m_jobs.push_back(JobId(json::parse(answer->body).at("id").get<std::string>()));
            return answer.has_value();
        });
        std::erase_if(m_cancels, [&](const auto &entry) {
            const auto answer = m_world.answer(entry.first);
            if (answer && answer->httpStatus == 200
                && json::parse(answer->body).at("state") == "cancelled") {
                m_cancelled.insert(entry.second);
                m_world.forbidStartsAfter(entry.second, answer->at + maximumStartDelayAfterCancel);
            }
            return answer.has_value();
        });
    }

    void runWithoutFaults()
    {
        m_world.faults = {};
        m_world.storeDown = false;
        m_world.worker(1).refuses = false;
        resume();
        for (int number = 0; number < 7; ++number)
            m_world.worker(number).failureShare = 0;
        for (int number = 0; number < 7; ++number)
            m_world.worker(number).isolated = false;
        m_world.run(150s);
        collectAnswers();
    }

    void checkOutcomes()
    {
        for (const JobId &id : m_jobs) {
            const json status = statusOf(m_world, id);
            const std::string state = status.value("state", "missing");
            const bool service = status.value("kind", "") == "service";
            if (m_cancelled.contains(id)) {
                if (state != "cancelled" || m_world.liveTasks(id) != 0)
                    m_failures.push_back(id.value() + " was cancelled but its status is "
                                         + status.dump());
            } else if (service && state != "cancelled") {
                if (m_world.liveTasks(id) != 4)
                    m_failures.push_back(
                        id.value() + " does not have four running instances: " + status.dump());
            } else if (state != "succeeded" && state != "failed" && state != "cancelled") {
                m_failures.push_back(id.value() + " has not ended: " + status.dump());
            }
        }
        checkAllocations();
    }

    /// At the end the allocated capacity must equal that of the running tasks, so that no
    /// reservation has leaked.
    void checkAllocations()
    {
        Resources allocated;
        for (int daemon = 0; daemon < 3; ++daemon) {
            const json list = json::parse(m_world.ask(daemon, "workers", "{}").body);
            for (const auto &worker : list.at("workers"))
                allocated.cpuMillis += worker.at("held").at("cpuMillis").get<std::int64_t>();
        }
        Resources live;
        for (int number = 0; number < 9 - m_endedVms; ++number)
            live += m_world.worker(number).declaredLive();
        if (allocated.cpuMillis != live.cpuMillis)
            m_failures.push_back("allocated CPU " + std::to_string(allocated.cpuMillis)
                                 + ", CPU of running tasks " + std::to_string(live.cpuMillis));
    }

    std::mt19937_64 m_random;
    World m_world;
    std::set<OperationId> m_submits;
    std::map<OperationId, JobId> m_cancels;
    std::vector<JobId> m_jobs;
    std::set<JobId> m_cancelled;
    std::vector<std::string> m_failures;
    int m_pausedDaemon = -1;
    int m_endedVms = 0;
    int m_servicesSubmitted = 0;
};

} // namespace

// Guards against overcommitted workers, exclusive tasks that run twice, starts of cancelled jobs,
// use of expired reservations, accepted jobs that are lost or never end, and leaked capacity. The
// faults are lost, late and duplicate messages and replies, paused daemons, drains, ended VMs and
// store outages.
BOOST_AUTO_TEST_CASE(guaranteesHoldUnderRandomFailures)
{
    const std::uint64_t first = firstSeed();
    for (std::uint64_t seed = first; seed < first + seedCount(); ++seed) {
        Exploration exploration(seed);
        const auto failures = exploration.run();
        if (failures.empty())
            continue;
        if (std::getenv("COWSLIPROCK_EXPLORATION_QUIET") == nullptr)
            std::cerr << exploration.trace();
        for (const auto &failure : failures)
            BOOST_ERROR("seed " << seed << ": " << failure);
    }
}
