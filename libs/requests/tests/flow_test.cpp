#include "cluster.h"

#include <requests/reasons.h>

#include <boost/test/unit_test.hpp>

using namespace cowsliprock;
using namespace cowsliprock::testing;
using namespace std::chrono_literals;

namespace {

[[nodiscard]] ClusterOptions calm()
{
    ClusterOptions options;
    options.service.name = "plan";
    options.service.slots = 2;
    options.service.expectedServiceTime = 50ms;
    return options;
}

/// One region, 8 slots in all, 200 ms for each request.
[[nodiscard]] ClusterOptions fixedCapacity()
{
    ClusterOptions options = calm();
    options.regions = 1;
    options.workersPerRegion = 4;
    options.service.expectedServiceTime = 200ms;
    options.shortestService = options.longestService = 200ms;
    options.longestTransit = 1ms;
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

// Guards against a path (own owner, remote owner, home) on which a request gets no whole answer,
// and against messages and journal entries that are not needed.
BOOST_AUTO_TEST_CASE(calmClusterAnswersEveryRequestWhole)
{
    Cluster cluster(calm());
    std::vector<std::size_t> sent;
    for (int index = 0; index < 100; ++index) {
        const std::string text = std::to_string(index);
        sent.push_back(cluster.request(cluster.random(4), profileOf(index % 2 == 0, "k" + text),
                                       "content " + text));
        cluster.run(100ms);
    }
    cluster.run(2s);
    // At most one Dispatch and one Forward with their replies, and one intent in the journal.
    BOOST_TEST_MESSAGE("messages " << cluster.messages() << ", entries "
                                   << cluster.journalWrites());
    BOOST_TEST(cluster.messages() <= 50U * 2 + 50U * 4);
    BOOST_TEST(cluster.journalWrites() == 50U);
    for (const std::size_t index : sent) {
        const RequestAnswer &answer = cluster.result(index).answer;
        BOOST_TEST((answer.kind == AnswerKind::Whole),
                   "request " << index << ": " << answer.reason);
    }
    cluster.checkEnd();
}

// Guards against work that is started too late to be useful, urgent work that waits behind other
// work, and refused requests that are held.
BOOST_AUTO_TEST_CASE(overloadKeepsUsefulRate)
{
    constexpr int offered = 20 * 120; // 20 s at three times the capacity of 8 / 200 ms
    Cluster cluster(fixedCapacity());
    const TimePoint end = cluster.now() + 20s;
    for (int index = 0; index < offered; ++index) {
        RequestProfile profile = profileOf(true);
        profile.priority = index % 10 == 0 ? Priority::Urgent : Priority::Normal;
        profile.hasPriority = true;
        cluster.request(cluster.random(2), profile, "content " + std::to_string(index));
        cluster.run(Duration(1'000'000 / 120));
    }
    cluster.run(2s);
    int useful = 0;
    int urgentUseful = 0;
    int refusedLate = 0;
    int refused = 0;
    for (const auto &request : cluster.results()) {
        const bool whole = request.answer.kind == AnswerKind::Whole;
        useful += whole && request.answeredAt <= end ? 1 : 0;
        urgentUseful += whole && request.profile.priority == Priority::Urgent ? 1 : 0;
        if (request.answer.kind == AnswerKind::NotRun) {
            ++refused;
            BOOST_TEST(request.answer.retryAfter.count() > 0);
            refusedLate += request.answeredAt - request.arrived > 50ms ? 1 : 0;
        }
    }
    BOOST_TEST_MESSAGE("useful " << useful << ", urgent " << urgentUseful << ", refused " << refused
                                 << ", of these later than 50 ms " << refusedLate);
    BOOST_TEST(useful >= 20 * 40 * 9 / 10);
    BOOST_TEST(urgentUseful >= offered / 10 * 99 / 100);
    // Only requests that more urgent ones displaced may have waited.
    BOOST_TEST(refusedLate <= offered / 10);
    cluster.checkEnd();
}

// Guards against retries that multiply the load when every attempt fails.
BOOST_AUTO_TEST_CASE(retriesStayWithinTheirBudget)
{
    ClusterOptions options = fixedCapacity();
    options.service.retryBudgetPercent = 10;
    options.shortestService = options.longestService = 20ms;
    options.faults.cutCalls = 1000;
    Cluster cluster(options);
    constexpr std::uint64_t requests = 400;
    for (std::uint64_t index = 0; index < requests; ++index) {
        cluster.request(0, profileOf(true), "content " + std::to_string(index));
        cluster.run(200ms);
    }
    cluster.run(2s);
    const std::uint64_t retries = cluster.counted("requests.retries");
    BOOST_TEST_MESSAGE("retries " << retries);
    BOOST_TEST(retries <= requests / 10 + 3);
    BOOST_TEST(retries > requests / 20); // the budget is used
}

// Guards against a second answer, a mixed-up answer or a leaked body when replies come twice and
// out of order. The cluster checks answers and bodies.
BOOST_AUTO_TEST_CASE(duplicatedAndReorderedRepliesAreHarmless)
{
    ClusterOptions options = calm();
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
    BOOST_TEST(cluster.counted("requests.duplicateDispatches") > 0U);
    BOOST_TEST(cluster.counted("requests.duplicateForwards") > 0U);
    BOOST_TEST(cluster.counted("requests.lateReplies") > 0U);
}

// Guards against a new home that runs an identity again because it has no answer for it.
BOOST_AUTO_TEST_CASE(newHomeAnswersUnknown)
{
    ClusterOptions options = fixedCapacity();
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

// Guards against the answer of one request for another one that has the same key.
BOOST_AUTO_TEST_CASE(reusedKeyIsRefused)
{
    Cluster cluster(calm());
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

// Guards against a restarted owner that runs an attempt again, or calls it not run, because its
// memory of attempts is lost.
BOOST_AUTO_TEST_CASE(attemptOfAnEarlierRunIsIgnored)
{
    Cluster cluster(fixedCapacity());
    cluster.restart(1);
    cluster.run(15s);
    const std::uint64_t messages = cluster.messages();
    message::Dispatch dispatch;
    dispatch.attempt = AttemptId("d0#1/r1@1");
    dispatch.request = profileOf(true);
    dispatch.request.service = "plan";
    cluster.give(1, event::PeerMessage{ { DaemonName("d0"), 1 }, dispatch });
    BOOST_TEST(cluster.counted("requests.duplicateDispatches") == 1U);
    BOOST_TEST(cluster.messages() == messages);
}
