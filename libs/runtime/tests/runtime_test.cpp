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

httplib::Request postRequest(const httplib::Headers &headers)
{
    httplib::Request request;
    request.method = "POST";
    request.target = "/services/fleetdesk/check";
    std::regex_match(request.target, request.matches, std::regex(R"(/services/([^/]+)/.*)"));
    request.headers = headers;
    return request;
}

} // namespace

// Guards against a non-idempotent request whose retry cannot be recognised.
BOOST_AUTO_TEST_CASE(nonIdempotentRequestNeedsKey)
{
    BOOST_TEST(!readCallerRequest(postRequest({})).has_value());
    BOOST_TEST(readCallerRequest(postRequest({ { "Idempotency-Key", "k" } })).has_value());
    const auto profile = readCallerRequest(postRequest({ { "X-Idempotent", "true" } }));
    BOOST_REQUIRE(profile.has_value());
    // Regression: an endpoint received "/services/fleetdesk/services/fleetdesk/check".
    BOOST_TEST(profile.value().path == "/check");
}

BOOST_AUTO_TEST_CASE(malformedHeadersAreRejected)
{
    for (const char *deadline : { "0", "-1", "25001", "12x", "" })
        BOOST_TEST(!readCallerRequest(
                        postRequest({ { "Idempotency-Key", "k" }, { "X-Deadline-Ms", deadline } }))
                        .has_value());
    BOOST_TEST(!readCallerRequest(postRequest({ { "Idempotency-Key", std::string(256, 'k') } }))
                    .has_value());
    BOOST_TEST(
        !readCallerRequest(postRequest({ { "Idempotency-Key", "k" }, { "X-Priority", "high" } }))
             .has_value());
}

BOOST_AUTO_TEST_CASE(problemDocumentStatesOutcomeAndRetryAfter)
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

// Guards against a full ring that blocks the kernel, and against an effect that is dropped without
// a result event.
BOOST_AUTO_TEST_CASE(fullRingFailsEffectImmediately)
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
    // A request whose body is missing must not be sent to the endpoint with an empty body.
    const auto failure = router.perform(missing);
    BOOST_REQUIRE(failure.has_value());
    BOOST_TEST(
        (std::get<event::EndpointReply>(*failure).outcome == event::EndpointOutcome::NotSent));

    bodies.put(BodyKey("r-1"), { "text/plain", "hello" });
    std::vector<Event> failures;
    for (int index = 0; index < 4; ++index) {
        effect::CallEndpoint call;
        call.attempt = AttemptId("a" + std::to_string(index));
        call.body = BodyKey("r-1");
        Effect effect = call;
        if (auto event = router.perform(effect))
            failures.push_back(std::move(*event));
    }
    release.set_value();
    // One call is in progress and one is queued. Two or three fail, depending on whether the thread
    // has already taken the first call.
    BOOST_REQUIRE(failures.size() >= 2U);
    for (const auto &event : failures)
        BOOST_TEST(
            (std::get<event::EndpointReply>(event).outcome == event::EndpointOutcome::NotSent));
}

// Guards against bodies that are lost or swapped between two daemons, and against malformed bytes
// that stop the receiver.
BOOST_AUTO_TEST_CASE(messageIsSentWithItsBody)
{
    Metrics metrics;
    std::promise<Envelope> arrived;
    PeerTransport::Builder senderBuilder;
    senderBuilder.listenAddress = "127.0.0.1:29401";
    senderBuilder.peers = { { DaemonName("b"), {}, "127.0.0.1:29402" } };
    senderBuilder.maxMessageBytes = 1'000'000;
    senderBuilder.ringSize = 16;
    senderBuilder.metrics = &metrics;
    senderBuilder.onMessage = [](const Envelope &) {};
    PeerTransport::Builder receiverBuilder = senderBuilder;
    receiverBuilder.listenAddress = "127.0.0.1:29402";
    receiverBuilder.peers = { { DaemonName("a"), {}, "127.0.0.1:29401" } };
    bool delivered = false;
    receiverBuilder.onMessage = [&](Envelope envelope) {
        if (!std::exchange(delivered, true))
            arrived.set_value(std::move(envelope));
    };
    const auto receiver = receiverBuilder.build();
    BOOST_REQUIRE(receiver.has_value());
    const auto sender = senderBuilder.build();
    BOOST_REQUIRE(sender.has_value());

    message::Dispatch dispatch;
    dispatch.attempt = AttemptId("a-1");
    dispatch.bodyKey = BodyKey("r-1");
    auto future = arrived.get_future();
    const auto body = std::make_shared<const Body>(Body{ "text/plain", "course 7" });
    // Messages are dropped until the connection is established.
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

// Guards against a leak: the bodies of dropped messages were never released.
BOOST_AUTO_TEST_CASE(droppedMessageReleasesItsBody)
{
    Clock clock;
    Metrics metrics;
    BodyStore bodies;
    KernelLoop::Builder builder;
    builder.ringSize = 1;
    builder.clock = &clock;
    builder.metrics = &metrics;
    const auto kernel = builder.build(); // Not started, so that the ring stays full.
    const auto receive = [&](const char *key) {
        message::Dispatch dispatch;
        dispatch.bodyKey = BodyKey(key);
        dispatch.body = "hello";
        return receiveMessage({ { DaemonName("a"), 1 }, dispatch }, bodies, *kernel);
    };
    BOOST_TEST(receive("r-1"));
    BOOST_TEST(!receive("r-2"));
    BOOST_TEST(bodies.size() == 1U);
    BOOST_TEST(bodies.find(BodyKey("r-1"))->bytes == "hello");
}
