#include "cluster.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <iostream>
#include <stdexcept>

using namespace cowsliprock;
using namespace cowsliprock::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t defaultSeedCount = 300;

[[nodiscard]] ClusterOptions optionsOf(std::uint64_t seed, bool trace)
{
    ClusterOptions options;
    options.seed = seed;
    options.trace = trace;
    options.daemonsPerRegion = 1 + seed % 3;
    options.workersPerRegion = 1 + seed % 4;
    options.service.name = "plan";
    options.service.slots = 1 + seed % 3;
    options.service.connections = 2;
    options.service.queueLimit = 4;
    options.service.retryBudgetPercent = 50;
    options.service.expectedServiceTime = 60ms;
    options.maxServiceTime = seed % 2 == 0 ? 120ms : 2s;
    options.faults = { .lostMessages = 30,
                       .duplicatedMessages = 100,
                       .delayedMessages = 60,
                       .refusedCalls = 20,
                       .unsentCalls = 30,
                       .cutCalls = 50,
                       .leavingReplies = 3,
                       .failedJournalWrites = 50 };
    return options;
}

void sendRequest(Cluster &cluster, std::uint64_t number)
{
    const std::size_t daemon = cluster.random(cluster.daemonCount());
    if (cluster.paused(daemon))
        return;
    RequestProfile profile;
    profile.caller = cluster.random(2) == 0 ? "home1" : "other";
    profile.priority = static_cast<Priority>(cluster.random(3));
    profile.hasPriority = true;
    profile.idempotent = cluster.random(2) == 0;
    profile.timeLeft = Duration(static_cast<std::int64_t>(20'000 + cluster.random(3'000'000)));
    std::string content = "r" + std::to_string(number);
    if (!profile.idempotent) {
        // Few keys, so that identities repeat, sometimes with different content.
        profile.idempotencyKey = "k" + std::to_string(cluster.random(150));
        content = profile.caller + "/" + profile.idempotencyKey;
        if (cluster.random(20) == 0)
            content += " changed";
    }
    cluster.request(daemon, profile, content);
}

void injectFault(Cluster &cluster, std::vector<TimePoint> &pausedUntil)
{
    const auto partitions = cluster.partitions();
    const auto &partition = partitions[cluster.random(partitions.size())];
    const std::size_t daemon = cluster.random(cluster.daemonCount());
    switch (cluster.random(8)) {
    case 0:
    case 1:
        cluster.movePartition(partition, daemon, true);
        break;
    case 2: {
        const std::size_t owner = cluster.ownerOf(partition);
        if (owner == daemon)
            break;
        cluster.pause(owner, true);
        pausedUntil[owner] =
            cluster.now() + Duration(static_cast<std::int64_t>(cluster.random(12'000'000)));
        cluster.movePartition(partition, daemon, false);
        break;
    }
    case 3:
        cluster.pause(daemon, true);
        pausedUntil[daemon] =
            cluster.now() + Duration(static_cast<std::int64_t>(cluster.random(800'000)));
        break;
    case 4:
        if (cluster.random(2) == 0 && pausedUntil[daemon] <= cluster.now())
            cluster.restart(daemon);
        break;
    case 5:
        cluster.setStoreOutage(cluster.random(3) == 0);
        break;
    default:
        break;
    }
}

void runScenario(Cluster &cluster, std::uint64_t seed)
{
    std::vector<TimePoint> pausedUntil(cluster.daemonCount());
    const auto resume = [&](bool all) {
        for (std::size_t daemon = 0; daemon < pausedUntil.size(); ++daemon) {
            if (all || pausedUntil[daemon] <= cluster.now())
                cluster.pause(daemon, false);
        }
    };
    if (seed % 4 < 2)
        cluster.setCommitDelay(400ms);
    std::uint64_t number = 0;
    for (int step = 0; step < 300; ++step) {
        for (std::uint64_t burst = cluster.random(4); burst > 0; --burst)
            sendRequest(cluster, ++number);
        if (cluster.random(8) == 0)
            injectFault(cluster, pausedUntil);
        cluster.run(Duration(static_cast<std::int64_t>(cluster.random(100'000))));
        resume(false);
    }
    resume(true);
    cluster.setStoreOutage(false);
    cluster.setFaults({});
    if (cluster.daemonCount() > 2 && seed % 2 == 0)
        cluster.drain(0);
    cluster.run(30s);
    cluster.checkEnd();
}

[[nodiscard]] std::uint64_t environmentNumber(const char *variable, std::uint64_t defaultValue)
{
    const char *text = std::getenv(variable);
    return text != nullptr ? std::stoull(text) : defaultValue;
}

/// Reruns a failed seed and prints its trace.
void printTrace(std::uint64_t seed)
{
    Cluster cluster(optionsOf(seed, true));
    try {
        runScenario(cluster, seed);
    } catch (const std::exception &exception) {
        std::cout << "seed " << seed << ": " << exception.what() << '\n';
    }
    for (const auto &line : cluster.trace())
        std::cout << line << '\n';
}

} // namespace

// Guards the invariants of Cluster under combined faults: each request gets exactly one answer, its
// own and in time; nothing answered as not run is executed; identities run at most once; slot
// and connection limits hold; bodies are released. COWSLIPROCK_SEEDS and COWSLIPROCK_FIRST_SEED set
// the number of seeds and the first one.
BOOST_AUTO_TEST_CASE(invariantsHoldUnderFaults)
{
    const std::uint64_t first = environmentNumber("COWSLIPROCK_FIRST_SEED", 1);
    const std::uint64_t count = environmentNumber("COWSLIPROCK_SEEDS", defaultSeedCount);
    std::map<AnswerKind, std::uint64_t> answers;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        try {
            Cluster cluster(optionsOf(seed, false));
            runScenario(cluster, seed);
            for (const auto &request : cluster.results())
                answers[request.answer.kind] += request.answers;
        } catch (const std::exception &exception) {
            printTrace(seed);
            BOOST_FAIL("seed " << seed << ": " << exception.what());
        }
    }
    std::cout << "answers: " << answers[AnswerKind::Whole] << " whole, "
              << answers[AnswerKind::NotRun] << " not run, " << answers[AnswerKind::Unknown]
              << " unknown\n";
    // The faults must produce enough answers of each kind to exercise it.
    for (const auto kind : { AnswerKind::Whole, AnswerKind::NotRun, AnswerKind::Unknown })
        BOOST_TEST(answers[kind] > 10 * count);
}
