#include "callerrequest.h"
#include "effectrouter.h"
#include "peerinbox.h"
#include "peertransport.h"
#include "workpool.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace cowsliprock;
using namespace std::chrono_literals;

namespace {

httplib::Request postWith(const httplib::Headers &headers)
{
    httplib::Request request;
    request.method = "POST";
    request.target = "/services/fleetdesk/check";
    std::regex_match(request.target, request.matches, std::regex(R"(/services/([^/]+)/.*)"));
    request.headers = headers;
    return request;
}

} // namespace

// Guards against a non-idempotent request that cannot be recognised when it comes again.
BOOST_AUTO_TEST_CASE(nonIdempotentRequestNeedsKey)
{
    BOOST_TEST(!readCallerRequest(postWith({})).has_value());
    BOOST_TEST(readCallerRequest(postWith({ { "Idempotency-Key", "k" } })).has_value());
    const auto profile = readCallerRequest(postWith({ { "X-Idempotent", "true" } }));
    BOOST_REQUIRE(profile.has_value());
    // An endpoint once received "/services/fleetdesk/services/fleetdesk/check".
    BOOST_TEST(profile.value().path == "/check");
}

BOOST_AUTO_TEST_CASE(malformedHeadersAreRejected)
{
    for (const char *deadline : { "0", "-1", "25001", "12x", "" })
        BOOST_TEST(!readCallerRequest(
                        postWith({ { "Idempotency-Key", "k" }, { "X-Deadline-Ms", deadline } }))
                        .has_value());
    BOOST_TEST(
        !readCallerRequest(postWith({ { "Idempotency-Key", std::string(256, 'k') } })).has_value());
    BOOST_TEST(
        !readCallerRequest(postWith({ { "Idempotency-Key", "k" }, { "X-Priority", "high" } }))
             .has_value());
}

BOOST_AUTO_TEST_CASE(problemDocumentTellsOutcomeAndTimeToComeBack)
{
    httplib::Response response;
    writeProblem(response, { AnswerKind::NotRun, 0, {}, "overloaded", 1200ms });
    BOOST_TEST(response.status == 503);
    BOOST_TEST(response.get_header_value("Retry-After") == "2");
    BOOST_TEST(response.body.find("\"outcome\":\"not-run\"") != std::string::npos);
    httplib::Response unknown;
    writeProblem(unknown, { AnswerKind::Unknown, 0, {}, "no answer", 0s });
    BOOST_TEST(unknown.status == 504);
    BOOST_TEST(unknown.get_header_value("X-Outcome") == "unknown");
}

// Guards against a full ring that blocks the kernel or loses an effect without a result.
BOOST_AUTO_TEST_CASE(fullDutyRingFailsTheEffectAtOnce)
{
    BodyStore bodies;
    Metrics metrics;
    Clock clock;
    std::promise<void> release;
    const auto released = release.get_future().share();
    WorkPool<effect::StoreCall> store(1, 1, [](effect::StoreCall &) {});
    WorkPool<WorkerCall> workers(1, 1, [released](WorkerCall &) { released.wait(); });
    WorkPool<EndpointCall> endpoints(1, 1, [released](EndpointCall &) { released.wait(); });
    EffectRouter router({ DaemonName("noord-1"), 1 }, bodies, metrics, clock);
    router.connect({ &store, &store, &workers, &endpoints, nullptr, nullptr });

    effect::CallEndpoint withoutBody;
    withoutBody.body = BodyKey("unknown");
    Effect missing = withoutBody;
    // A request whose body is gone must not reach the endpoint with an empty one.
    const auto refusal = router.perform(missing);
    BOOST_REQUIRE(refusal.has_value());
    BOOST_TEST(
        (std::get<event::EndpointReply>(*refusal).outcome == event::EndpointOutcome::NotSent));

    bodies.put(BodyKey("r-1"), { "text/plain", "hello" });
    std::vector<Event> refused;
    for (int index = 0; index < 4; ++index) {
        effect::CallEndpoint call;
        call.attempt = AttemptId("a" + std::to_string(index));
        call.body = BodyKey("r-1");
        Effect effect = call;
        if (auto event = router.perform(effect))
            refused.push_back(std::move(*event));
    }
    release.set_value();
    // One is being worked on and one waits; depending on the thread's start, two or three fail.
    BOOST_REQUIRE(refused.size() >= 2U);
    for (const auto &event : refused)
        BOOST_TEST(
            (std::get<event::EndpointReply>(event).outcome == event::EndpointOutcome::NotSent));
}

// Guards against bodies that are lost or mixed up between two daemons, and against malformed
// bytes that stop the receiver.
BOOST_AUTO_TEST_CASE(messageTravelsWithItsBody)
{
    Metrics metrics;
    std::promise<Envelope> arrived;
    PeerTransport::Builder first;
    first.listenAddress = "127.0.0.1:29401";
    first.peers = { { DaemonName("b"), {}, "127.0.0.1:29402" } };
    first.largestMessage = 1'000'000;
    first.ringSize = 16;
    first.metrics = &metrics;
    first.received = [](const Envelope &) {};
    PeerTransport::Builder second = first;
    second.listenAddress = "127.0.0.1:29402";
    second.peers = { { DaemonName("a"), {}, "127.0.0.1:29401" } };
    bool done = false;
    second.received = [&](Envelope envelope) {
        if (!std::exchange(done, true))
            arrived.set_value(std::move(envelope));
    };
    const auto receiver = second.build();
    BOOST_REQUIRE(receiver.has_value());
    const auto sender = first.build();
    BOOST_REQUIRE(sender.has_value());

    message::Dispatch dispatch;
    dispatch.attempt = AttemptId("a-1");
    dispatch.bodyKey = BodyKey("r-1");
    auto future = arrived.get_future();
    const auto body = std::make_shared<const Body>(Body{ "text/plain", "course 7" });
    // Messages are dropped until the connection is there.
    for (int attempt = 0; attempt < 200; ++attempt) {
        static_cast<void>(
            sender.value()->send({ DaemonName("b"), { { DaemonName("a"), 1 }, dispatch }, body }));
        if (future.wait_for(50ms) == std::future_status::ready)
            break;
    }
    BOOST_REQUIRE((future.wait_for(0s) == std::future_status::ready));
    const auto envelope = future.get();
    BOOST_TEST(std::get<message::Dispatch>(envelope.message).body == "course 7");
}

// Guards against the bodies of dropped messages, which once stayed in memory for good.
BOOST_AUTO_TEST_CASE(droppedMessageLeavesNoBody)
{
    Clock clock;
    Metrics metrics;
    BodyStore bodies;
    KernelLoop::Builder builder;
    builder.ringSize = 1;
    builder.clock = &clock;
    builder.metrics = &metrics;
    const auto kernel = builder.build(); // Not started, so that its ring stays full.
    const auto received = [&](const char *key) {
        message::Dispatch dispatch;
        dispatch.bodyKey = BodyKey(key);
        dispatch.body = "hello";
        return receiveMessage({ { DaemonName("a"), 1 }, dispatch }, bodies, *kernel);
    };
    BOOST_TEST(received("r-1"));
    BOOST_TEST(!received("r-2"));
    BOOST_TEST(bodies.size() == 1U);
    BOOST_TEST(bodies.find(BodyKey("r-1"))->bytes == "hello");
}
