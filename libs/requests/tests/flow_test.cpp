#include "cluster.h"

#include <requests/reasons.h>

#include <boost/test/unit_test.hpp>

using namespace cowsliprock;
using namespace cowsliprock::testing;
using namespace std::chrono_literals;

namespace {

[[nodiscard]] ClusterOptions faultFreeOptions()
{
    ClusterOptions options;
    options.service.name = "plan";
    options.service.slots = 2;
    options.service.expectedServiceTime = 50ms;
    return options;
}

/// One region with 8 slots in total and a service time of 200 ms.
[[nodiscard]] ClusterOptions fixedCapacityOptions()
{
    ClusterOptions options = faultFreeOptions();
    options.regions = 1;
    options.workersPerRegion = 4;
    options.service.expectedServiceTime = 200ms;
    options.minServiceTime = options.maxServiceTime = 200ms;
    options.maxTransit = 1ms;
    return options;
}

[[nodiscard]] RequestProfile profileOf(bool idempotent, const std::string &key = {})
{
    RequestProfile profile;
    profile.caller = "caller";
    profile.idempotencyKey = key;
    profile.idempotent = idempotent;
    profile.timeLeft = 1s;
    return profile;
}

} // namespace

// Guards against a path (local owner, remote owner, home) that fails requests without any fault,
// and against redundant messages and journal entries.
BOOST_AUTO_TEST_CASE(faultFreeClusterAnswersEveryRequestWhole)
{
    Cluster cluster(faultFreeOptions());
    std::vector<std::size_t> sent;
    for (int index = 0; index < 100; ++index) {
        const std::string text = std::to_string(index);
        sent.push_back(cluster.request(cluster.random(4), profileOf(index % 2 == 0, "k" + text),
                                       "content " + text));
        cluster.run(100ms);
    }
    cluster.run(2s);
    // Per request at most one Dispatch and, if not idempotent, one Forward, with their replies; one
    // journaled intent per non-idempotent request.
    BOOST_TEST_MESSAGE("messages: " << cluster.messages()
                                    << ", journal entries: " << cluster.journalWrites());
    BOOST_TEST(cluster.messages() <= 50U * 2 + 50U * 4);
    BOOST_TEST(cluster.journalWrites() == 50U);
    for (const std::size_t index : sent) {
        const RequestAnswer &answer = cluster.result(index).answer;
        BOOST_TEST((answer.kind == AnswerKind::Whole),
                   "request " << index << ": " << answer.reason);
    }
    cluster.checkEnd();
}

// Guards against requests that are started too late to meet their deadlines, urgent requests that
// wait behind others, and refusals that are delayed.
BOOST_AUTO_TEST_CASE(goodputIsSustainedUnderOverload)
{
    constexpr int offered = 20 * 120; // 20 s at 3x the capacity of 8 slots / 200 ms
    Cluster cluster(fixedCapacityOptions());
    const TimePoint end = cluster.now() + 20s;
    for (int index = 0; index < offered; ++index) {
        RequestProfile profile = profileOf(true);
        profile.priority = index % 10 == 0 ? Priority::Urgent : Priority::Normal;
        profile.hasPriority = true;
        cluster.request(cluster.random(2), profile, "content " + std::to_string(index));
        cluster.run(Duration(1'000'000 / 120));
    }
    cluster.run(2s);
    int wholeInTime = 0;
    int urgentWhole = 0;
    int refusedLate = 0;
    int refused = 0;
    for (const auto &request : cluster.results()) {
        const bool whole = request.answer.kind == AnswerKind::Whole;
        wholeInTime += whole && request.answeredAt <= end ? 1 : 0;
        urgentWhole += whole && request.profile.priority == Priority::Urgent ? 1 : 0;
        if (request.answer.kind == AnswerKind::NotRun) {
            ++refused;
            BOOST_TEST(request.answer.retryAfter.count() > 0);
            refusedLate += request.answeredAt - request.arrived > 50ms ? 1 : 0;
        }
    }
    BOOST_TEST_MESSAGE("whole in time: " << wholeInTime << ", urgent: " << urgentWhole
                                         << ", refused: " << refused
                                         << ", of these after 50 ms: " << refusedLate);
    BOOST_TEST(wholeInTime >= 20 * 40 * 9 / 10);
    BOOST_TEST(urgentWhole >= offered / 10 * 99 / 100);
    // Only requests displaced by higher-priority ones may be refused late.
    BOOST_TEST(refusedLate <= offered / 10);
    cluster.checkEnd();
}

// Guards against retry amplification when every attempt fails.
BOOST_AUTO_TEST_CASE(retriesStayWithinBudget)
{
    ClusterOptions options = fixedCapacityOptions();
    options.service.retryBudgetPercent = 10;
    options.minServiceTime = options.maxServiceTime = 20ms;
    options.faults.cutCalls = 1000;
    Cluster cluster(options);
    constexpr std::uint64_t requests = 400;
    for (std::uint64_t index = 0; index < requests; ++index) {
        cluster.request(0, profileOf(true), "content " + std::to_string(index));
        cluster.run(200ms);
    }
    cluster.run(2s);
    const std::uint64_t retries = cluster.metricValue("requests.retries");
    BOOST_TEST_MESSAGE("retries: " << retries);
    BOOST_TEST(retries <= requests / 10 + 3);
    BOOST_TEST(retries > requests / 20); // the budget is actually used
}

// Guards against a second answer, an answer to the wrong request or a leaked body when messages are
// duplicated and reordered. The cluster checks answers and bodies.
BOOST_AUTO_TEST_CASE(duplicatedAndReorderedRepliesAreHarmless)
{
    ClusterOptions options = faultFreeOptions();
    options.faults.duplicatedMessages = 1000;
    options.faults.delayedMessages = 500;
    Cluster cluster(options);
    for (int index = 0; index < 200; ++index) {
        const std::string text = std::to_string(index);
        cluster.request(cluster.random(4), profileOf(index % 2 == 0, "k" + text),
                        "content " + text);
        cluster.run(50ms);
    }
    cluster.run(5s);
    cluster.checkEnd();
    BOOST_TEST(cluster.metricValue("requests.duplicateDispatches") > 0U);
    BOOST_TEST(cluster.metricValue("requests.duplicateForwards") > 0U);
    BOOST_TEST(cluster.metricValue("requests.lateReplies") > 0U);
}

// Guards against a new home that dispatches an identity again because it has no cached answer.
BOOST_AUTO_TEST_CASE(newHomeAnswersUnknown)
{
    ClusterOptions options = fixedCapacityOptions();
    options.partitions = 1;
    Cluster cluster(options);
    const auto first = cluster.request(0, profileOf(false, "k"), "content");
    cluster.run(1s);
    BOOST_TEST((cluster.result(first).answer.kind == AnswerKind::Whole));
    const auto repeated = cluster.request(1, profileOf(false, "k"), "content");
    cluster.run(1s);
    BOOST_TEST((cluster.result(repeated).answer.kind == AnswerKind::Whole));
    cluster.movePartition(cluster.partitions().front(), 1, true);
    cluster.run(3s);
    const auto after = cluster.request(0, profileOf(false, "k"), "content");
    cluster.run(2s);
    BOOST_TEST((cluster.result(after).answer.kind == AnswerKind::Unknown));
    BOOST_TEST(cluster.result(after).answer.reason == reason::outcomeUnknown);
    BOOST_TEST(cluster.starts("content") == 1U);
}

// Guards against returning the answer of one request for another request with the same key.
BOOST_AUTO_TEST_CASE(reusedKeyIsRefused)
{
    Cluster cluster(faultFreeOptions());
    cluster.request(0, profileOf(false, "k"), "content");
    const auto during = cluster.request(1, profileOf(false, "k"), "other content");
    cluster.run(2s);
    const auto after = cluster.request(2, profileOf(false, "k"), "other content");
    cluster.run(2s);
    for (const std::size_t index : { during, after }) {
        BOOST_TEST((cluster.result(index).answer.kind == AnswerKind::NotRun));
        BOOST_TEST(cluster.result(index).answer.reason == reason::keyReused);
    }
    BOOST_TEST(cluster.starts("other content") == 0U);
}

// Guards against a restarted owner that executes an attempt again, or reports it as not run,
// because the restart lost the list of seen attempts.
BOOST_AUTO_TEST_CASE(attemptForEarlierIncarnationIsIgnored)
{
    Cluster cluster(fixedCapacityOptions());
    cluster.restart(1);
    cluster.run(15s);
    const std::uint64_t messages = cluster.messages();
    message::Dispatch dispatch;
    dispatch.attempt = AttemptId("d0#1/r1@1");
    dispatch.request = profileOf(true);
    dispatch.request.service = "plan";
    cluster.injectEvent(1, event::PeerMessage{ { DaemonName("d0"), 1 }, dispatch });
    BOOST_TEST(cluster.metricValue("requests.duplicateDispatches") == 1U);
    BOOST_TEST(cluster.messages() == messages);
}
