#include "jobs.h"

#include <cstdlib>
#include <iostream>
#include <random>
#include <set>

using namespace cowsliprock;
using namespace cowsliprock::test;
using namespace std::chrono_literals;

namespace {

/// Message delay 3 s but at most the reservation time of 2 s counts; send limit 2 s; flight 7 s.
constexpr Duration latestStartAfterCancel = 11s;

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

/// A minute of random operations and failures, then calm until everything must have ended.
class Exploration
{
public:
    explicit Exploration(std::uint64_t seed)
        : m_random(seed * 7919)
        , m_world({ seed, 3, 9, 6 })
    {
        m_world.setConfiguration(testConfiguration());
        const auto share = [this] { return static_cast<double>(pick(5)) / 100; };
        m_world.faults = { share(), share(), share(), share(), share(), share(), share() };
        for (int number = 0; number < 9; ++number)
            m_world.worker(number).failureShare = number == 0 ? 0.5 : 0.02;
    }

    std::vector<std::string> run()
    {
        for (int step = 0; step < 120; ++step) {
            act();
            m_world.run(500ms);
            collect();
        }
        calm();
        check();
        return m_world.violations().empty() ? m_problems : m_world.violations();
    }

    [[nodiscard]] std::string trace() const { return m_world.trace(); }

private:
    int pick(int count) { return static_cast<int>(m_random() % static_cast<unsigned>(count)); }

    void act()
    {
        switch (pick(14)) {
        case 0:
        case 1:
        case 2:
        case 3:
            return submit();
        case 4:
        case 5:
            return cancel();
        case 6:
            return m_frozen < 0 ? freeze() : thaw();
        case 7:
            return thaw();
        case 8:
            m_world.storeDown = pick(3) == 0;
            return;
        case 9:
            if (pick(4) == 0 && m_frozen < 0)
                m_world.drain(pick(3));
            return;
        case 10:
            if (m_ended < 2 && pick(4) == 0)
                m_world.endVm(8 - m_ended++);
            return;
        case 11:
            m_world.worker(1).refuses = pick(2) == 0;
            m_world.worker(2 + pick(4)).cutOff = pick(3) == 0;
            return;
        default:
            return;
        }
    }

    void submit()
    {
        json changes{ { "taskCount", 1 + pick(4) },
                      { "expectedRunTimeMs", 500 + pick(pick(3) == 0 ? 60'000 : 15'000) },
                      { "policy", pick(2) == 0 ? "pack" : "spread" },
                      { "perTask",
                        { { "cpuMillis", 1'000 * (1 + pick(8)) }, { "memoryMb", 4'000 } } } };
        const int kind = pick(8);
        if (kind < 3)
            changes.update({ { "name", "exclusive" }, { "exclusive", true } });
        else if (kind == 3)
            changes.update({ { "priority", "urgent" }, { "mayYield", false } });
        else if (kind < 6)
            changes.update({ { "kind", "gang" } });
        if (kind == 5)
            changes.update({ { "name", "exclusive gang" }, { "exclusive", true } });
        const bool service = kind == 7 && m_services++ < 2;
        m_submits.insert(
            m_world.call(pick(3), "submit", service ? R"({"name": "planner"})" : jobBody(changes)));
    }

    void cancel()
    {
        if (m_jobs.empty())
            return;
        const JobId id = m_jobs[static_cast<std::size_t>(pick(static_cast<int>(m_jobs.size())))];
        m_cancels[m_world.call(pick(3), "cancel", idBody(id))] = id;
    }

    void freeze()
    {
        m_frozen = pick(3);
        m_world.freeze(m_frozen);
    }

    void thaw()
    {
        if (m_frozen >= 0)
            m_world.thaw(m_frozen);
        m_frozen = -1;
    }

    /// Takes note of the answers that have arrived.
    void collect()
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
                m_world.noStartsFrom(entry.second, answer->at + latestStartAfterCancel);
            }
            return answer.has_value();
        });
    }

    void calm()
    {
        m_world.faults = {};
        m_world.storeDown = false;
        m_world.worker(1).refuses = false;
        thaw();
        for (int number = 0; number < 7; ++number)
            m_world.worker(number).failureShare = 0;
        for (int number = 0; number < 7; ++number)
            m_world.worker(number).cutOff = false;
        m_world.run(150s);
        collect();
    }

    void check()
    {
        for (const JobId &id : m_jobs) {
            const json status = statusOf(m_world, id);
            const std::string state = status.value("state", "missing");
            const bool service = status.value("kind", "") == "service";
            if (m_cancelled.contains(id)) {
                if (state != "cancelled" || m_world.liveTasks(id) != 0)
                    m_problems.push_back(id.value() + " was cancelled and is " + status.dump());
            } else if (service && state != "cancelled") {
                if (m_world.liveTasks(id) != 4)
                    m_problems.push_back(id.value() + " has not four instances: " + status.dump());
            } else if (state != "succeeded" && state != "failed" && state != "cancelled") {
                m_problems.push_back(id.value() + " has not ended: " + status.dump());
            }
        }
        checkHeld();
    }

    /// What is held at the end is what runs: no reservation is left behind.
    void checkHeld()
    {
        Resources held;
        for (int daemon = 0; daemon < 3; ++daemon) {
            const json list = json::parse(m_world.ask(daemon, "workers", "{}").body);
            for (const auto &worker : list.at("workers"))
                held.cpuMillis += worker.at("held").at("cpuMillis").get<std::int64_t>();
        }
        Resources live;
        for (int number = 0; number < 9 - m_ended; ++number)
            live += m_world.worker(number).declaredLive();
        if (held.cpuMillis != live.cpuMillis)
            m_problems.push_back("held " + std::to_string(held.cpuMillis) + ", running "
                                 + std::to_string(live.cpuMillis));
    }

    std::mt19937_64 m_random;
    World m_world;
    std::set<OperationId> m_submits;
    std::map<OperationId, JobId> m_cancels;
    std::vector<JobId> m_jobs;
    std::set<JobId> m_cancelled;
    std::vector<std::string> m_problems;
    int m_frozen = -1;
    int m_ended = 0;
    int m_services = 0;
};

} // namespace

// Guards against workers that run more than their capacity, exclusive tasks in two places, starts
// of cancelled jobs, expired reservations that are used, accepted jobs that get lost or never end,
// and capacity that stays held, under lost, late and repeated messages and answers, frozen daemons,
// drains, ended VMs and store outages.
BOOST_AUTO_TEST_CASE(guaranteesHoldUnderRandomFailures)
{
    const std::uint64_t first = firstSeed();
    for (std::uint64_t seed = first; seed < first + seedCount(); ++seed) {
        Exploration exploration(seed);
        const auto problems = exploration.run();
        if (problems.empty())
            continue;
        if (std::getenv("COWSLIPROCK_EXPLORATION_QUIET") == nullptr)
            std::cerr << exploration.trace();
        for (const auto &problem : problems)
            BOOST_ERROR("seed " << seed << ": " << problem);
    }
}
