#include <platform/endpointclient.h>

#include "rawserver.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <vector>

using namespace cowsliprock;
using namespace std::chrono_literals;
using event::EndpointOutcome;

namespace {

const std::string okResponse = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                               "Content-Length: 5\r\n\r\nhello";

effect::CallEndpoint makeCall(const RawServer &server, const std::string &method = "POST")
{
    effect::CallEndpoint call;
    call.attempt = AttemptId("a1");
    call.address = server.address();
    call.request.method = method;
    call.request.service = "planner";
    call.request.path = "plan";
    call.request.timeLeft = 5s;
    call.validUntil = TimePoint::max();
    return call;
}

struct Fixture
{
    Clock clock;
    EndpointClient client{ {}, clock };
    Body body{ "text/plain", "question" };

    EndpointOutcome outcomeOf(const std::string &answer)
    {
        const RawServer server([&](int socket) {
            RawServer::readUntil(socket, "question");
            RawServer::write(socket, answer);
        });
        return client.call(makeCall(server), body).reply.outcome;
    }
};

} // namespace

// Guards against a request or response whose header or body is altered on the way.
BOOST_FIXTURE_TEST_CASE(completeResponseIsReturned, Fixture)
{
    std::string seen;
    const RawServer server([&](int socket) {
        seen = RawServer::readUntil(socket, "question");
        RawServer::write(socket, okResponse);
    });
    const EndpointResult result = client.call(makeCall(server), body);
    BOOST_TEST((result.reply.outcome == EndpointOutcome::Answered));
    BOOST_TEST(result.reply.httpStatus == 200);
    BOOST_TEST(result.body.bytes == "hello");
    BOOST_TEST(result.body.contentType == "text/plain");
    BOOST_TEST(seen.starts_with("POST /services/planner/plan HTTP/1.1\r\n"));
    BOOST_TEST(seen.find("X-Attempt: a1\r\n") != std::string::npos);
}

// Guards against treating a truncated response as complete (G3).
BOOST_FIXTURE_TEST_CASE(truncatedResponseIsUnknown, Fixture)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::string> truncated{
        "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\n\r\nhello", // without a length
        "HTTP/1.1 200 OK\r\nContent-Le",
        chunked + "5\r\nhello\r\n",
        chunked + "5\r\nhello\r", // between CR and LF
        chunked + "5\r\nhello\r\n0\r\n",
        chunked + "5\r\nhello\r\n0",
        "",
    };
    for (const std::string &answer : truncated)
        BOOST_TEST((outcomeOf(answer) == EndpointOutcome::Unknown), answer);
    BOOST_TEST((outcomeOf(chunked + "5\r\nhello\r\n0\r\n\r\n") == EndpointOutcome::Answered));
}

// Guards against treating a refusal as an answer of the service, and any 503 as a refusal (G6).
BOOST_FIXTURE_TEST_CASE(refusalIsRecognised, Fixture)
{
    BOOST_TEST((outcomeOf("HTTP/1.1 503 No\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n")
                == EndpointOutcome::Refused));
    BOOST_TEST(
        (outcomeOf("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n") == EndpointOutcome::Answered));
}

// Guards against writing the rest of a body after validUntil: the endpoint must never receive the
// complete request. The server stops reading, so that validUntil passes during the transfer.
BOOST_FIXTURE_TEST_CASE(bodyIsWithheldAfterValidUntil, Fixture)
{
    body.bytes.assign(std::size_t{ 32 } << 20U, 'x');
    std::promise<void> finished;
    std::size_t received = 0;
    {
        const RawServer server([&](int socket) {
            RawServer::readUntil(socket, "\r\n\r\n");
            finished.get_future().wait();
            received = RawServer::drain(socket);
        });
        effect::CallEndpoint call = makeCall(server);
        call.validUntil = clock.now() + 200ms;
        const EndpointResult result = client.call(call, body);
        BOOST_TEST((result.reply.outcome == EndpointOutcome::NotSent));
        BOOST_TEST(result.reply.detail.starts_with("validity ended"));
        finished.set_value();
    }
    BOOST_TEST(received < body.bytes.size());
}

// Guards against sending data when validUntil has already passed, for methods with and without a
// body.
BOOST_FIXTURE_TEST_CASE(nothingIsSentAfterValidUntil, Fixture)
{
    for (const char *method : { "POST", "GET", "DELETE" }) {
        std::promise<std::string> seen;
        const RawServer server(
            [&](int socket) { seen.set_value(RawServer::readUntil(socket, "\r\n\r\n")); });
        effect::CallEndpoint call = makeCall(server, method);
        call.validUntil = clock.now();
        BOOST_TEST((client.call(call, {}).reply.outcome == EndpointOutcome::NotSent));
        BOOST_TEST(seen.get_future().get().empty());
    }
}

// Guards against sending the end of a request without a body in the same write as the header: the
// endpoint could execute it before the last check of validUntil.
BOOST_FIXTURE_TEST_CASE(emptyBodyEndIsSentSeparately, Fixture)
{
    std::string head;
    std::string end;
    const RawServer server([&](int socket) {
        head = RawServer::readUntil(socket, "\r\n\r\n");
        end = RawServer::readUntil(socket, "\r\n\r\n");
        RawServer::write(socket, okResponse);
    });
    BOOST_TEST((client.call(makeCall(server), {}).reply.outcome == EndpointOutcome::Answered));
    BOOST_TEST(head.find("Transfer-Encoding: chunked\r\n") != std::string::npos);
    BOOST_TEST(end == "0\r\n\r\n");
}

// Guards against reporting Unknown when the endpoint closes before it could read the request body.
BOOST_FIXTURE_TEST_CASE(closeBeforeTheBodyIsReadIsNotSent, Fixture)
{
    body.bytes.assign(std::size_t{ 32 } << 20U, 'x');
    const RawServer server([](int socket) { RawServer::readUntil(socket, "\r\n\r\n"); });
    BOOST_TEST((client.call(makeCall(server), body).reply.outcome == EndpointOutcome::NotSent));
}

// Guards against reporting NotSent for a request that the endpoint executes without waiting for the
// body (G4).
BOOST_FIXTURE_TEST_CASE(earlyResponseIsUnknownUnlessRefused, Fixture)
{
    body.bytes.assign(std::size_t{ 32 } << 20U, 'x');
    const auto outcomeOfEarlyResponse = [this](const std::string &answer) {
        const RawServer server([&](int socket) {
            RawServer::readUntil(socket, "\r\n\r\n");
            RawServer::write(socket, answer);
            // Further reads could let the client send the complete body before it sees the
            // response.
            RawServer::waitForClose(socket);
        });
        return client.call(makeCall(server), body).reply.outcome;
    };
    BOOST_TEST((outcomeOfEarlyResponse(okResponse) == EndpointOutcome::Unknown));
    BOOST_TEST(
        (outcomeOfEarlyResponse("HTTP/1.1 503 No\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n")
         == EndpointOutcome::Refused));
}

// Guards against retransmitting a request whose body was sent when a persistent connection breaks
// (G5).
BOOST_FIXTURE_TEST_CASE(requestIsNotRetriedOnBrokenConnection, Fixture)
{
    std::atomic<int> requests{ 0 };
    const RawServer server([&](int socket) {
        for (int index = 0; index < 2; ++index) {
            requests += RawServer::readUntil(socket, "question").empty() ? 0 : 1;
            if (index == 0)
                RawServer::write(socket, okResponse);
        }
    });
    BOOST_TEST((client.call(makeCall(server), body).reply.outcome == EndpointOutcome::Answered));
    BOOST_TEST((client.call(makeCall(server), body).reply.outcome == EndpointOutcome::Unknown));
    BOOST_TEST(requests == 2);
    BOOST_TEST(server.connections() == 1);
}

// Guards against reusing an idle connection that the endpoint has closed.
BOOST_FIXTURE_TEST_CASE(closedIdleConnectionIsReplaced, Fixture)
{
    std::promise<void> closed;
    const RawServer server([&](int socket) {
        RawServer::readUntil(socket, "question");
        RawServer::write(socket, okResponse);
        ::shutdown(socket, SHUT_RDWR);
        if (server.connections() == 1)
            closed.set_value();
    });
    BOOST_TEST((client.call(makeCall(server), body).reply.outcome == EndpointOutcome::Answered));
    closed.get_future().wait();
    BOOST_TEST((client.call(makeCall(server), body).reply.outcome == EndpointOutcome::Answered));
    BOOST_TEST(server.connections() == 2);
}

// Guards against header injection through a caller's idempotency key.
BOOST_FIXTURE_TEST_CASE(lineBreaksInHeadersAreRejected, Fixture)
{
    const RawServer server([](int) {});
    effect::CallEndpoint call = makeCall(server);
    call.request.idempotencyKey = "k\r\nX-Attempt: other";
    BOOST_TEST((client.call(call, body).reply.outcome == EndpointOutcome::NotSent));
    BOOST_TEST(server.connections() == 0);
}
