#include "limitedserver.h"

#include <eventloop/asio.h>

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace asio = boost::asio;
using namespace cowsliprock;
using std::chrono::milliseconds;

BOOST_FIXTURE_TEST_SUITE(httpconnections, LimitedServer)

/// Guards against a timeout that each received byte extends.
BOOST_AUTO_TEST_CASE(closesAHeaderSectionThatTrickles)
{
    limits.headerTimeout = milliseconds(200);
    setLimits();
    std::string answer;
    run([&] {
        RawClient client(port);
        client.send("GET / HTTP/1.1\r\nField: ");
        for (int i = 0; i < 200 && !client.readable(25); ++i)
            client.send("x");
        answer = client.readUntilClosed();
    });
    BOOST_TEST(answer.starts_with("HTTP/1.1 408"));
    BOOST_TEST(exceeded[HttpLimit::HeaderTimeout] == 1);
}

BOOST_AUTO_TEST_CASE(closesABodyThatTrickles)
{
    limits.messageTimeout = milliseconds(200);
    setLimits();
    std::string answer;
    run([&] {
        RawClient client(port);
        client.send("POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n");
        for (int i = 0; i < 200 && !client.readable(25); ++i)
            client.send("x");
        answer = client.readUntilClosed();
    });
    BOOST_TEST(answer.starts_with("HTTP/1.1 408"));
    BOOST_TEST(exceeded[HttpLimit::MessageTimeout] == 1);
}

BOOST_AUTO_TEST_CASE(closesIdleConnections)
{
    limits.idleTimeout = milliseconds(200);
    setLimits();
    std::string unusedAnswer = "not closed";
    std::string usedAnswer = "not closed";
    run([&] {
        RawClient unused(port);
        RawClient used(port);
        static_cast<void>(isAnswered(used));
        unusedAnswer = unused.readUntilClosed();
        usedAnswer = used.readUntilClosed();
    });
    BOOST_TEST(unusedAnswer.empty());
    BOOST_TEST(usedAnswer.empty());
    BOOST_TEST(exceeded[HttpLimit::IdleTimeout] == 2);
}

BOOST_AUTO_TEST_CASE(closesAConnectionThatDoesNotReadItsResponse)
{
    limits.writeTimeout = milliseconds(200);
    setLimits();
    budget = std::make_shared<ByteBudget>(2 * endlessBytes);
    server.setBudget(budget);
    bool closed = false;
    run([&] {
        RawClient client(port);
        client.send("GET /large HTTP/1.1\r\nHost: a\r\n\r\n");
        for (int i = 0; i < 200 && !closed; ++i) {
            RawClient::sleep(milliseconds(25));
            closed = onLoop([this] { return !received.empty() && server.connections() == 0; }) != 0;
        }
    });
    BOOST_TEST(closed);
    BOOST_TEST(exceeded[HttpLimit::WriteTimeout] == 1);
    BOOST_TEST(budget->used() == 0U);
}

/// Guards against clients that occupy all file descriptors with connections they do not use.
BOOST_AUTO_TEST_CASE(admitsNewClientsByEvictingOthers)
{
    limits.connections = maxConnections;
    setLimits();
    for (const std::string &start : { std::string(), std::string("GET / HT"), simpleRequest }) {
        bool answered = false;
        std::size_t open = 0;
        run([&] {
            std::vector<std::unique_ptr<RawClient>> clients;
            for (std::size_t i = 0; i < 5 * maxConnections; ++i) {
                clients.push_back(std::make_unique<RawClient>(port));
                clients.back()->send(start);
            }
            RawClient ordinary(port);
            answered = isAnswered(ordinary);
            open = openConnections();
        });
        BOOST_TEST(answered);
        BOOST_TEST(open <= maxConnections);
    }
    BOOST_TEST(exceeded[HttpLimit::Connections] > 0);
}

/// Guards against evicting a client whose request is in progress, which may have been forwarded.
BOOST_AUTO_TEST_CASE(doesNotEvictRequestsInProgress)
{
    limits.connections = maxConnections;
    setLimits();
    std::vector<std::string> answers;
    run([&] {
        std::vector<std::unique_ptr<RawClient>> busy;
        for (std::size_t i = 0; i < maxConnections; ++i) {
            busy.push_back(std::make_unique<RawClient>(port));
            busy.back()->send("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
        }
        std::vector<std::unique_ptr<RawClient>> others;
        for (std::size_t i = 0; i < 2 * maxConnections; ++i)
            others.push_back(std::make_unique<RawClient>(port));
        RawClient ordinary(port);
        ordinary.send(simpleRequest);
        asio::post(loop.context(), [this] { answerHeld(maxConnections); });
        for (const auto &client : busy)
            answers.push_back(client->readResponse().substr(0, 12));
        answers.push_back(ordinary.readResponse().substr(0, 12));
    });
    BOOST_TEST(answers.size() == maxConnections + 1);
    for (const auto &answer : answers)
        BOOST_TEST(answer == "HTTP/1.1 200");
}

/// Guards against losing a request that arrived before an idle connection was closed.
BOOST_AUTO_TEST_CASE(answersARequestThatArrivedBeforeAnIdleConnectionIsClosed)
{
    std::string answer;
    std::unique_ptr<RawClient> client;
    run([&] {
        client = std::make_unique<RawClient>(port);
        static_cast<void>(isAnswered(*client));
        asio::post(loop.context(), [&] {
            client->send(simpleRequest);
            server.closeIdle();
        });
        answer = client->readResponse();
    });
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
}

/// Guards against closing connections whose request waits in the socket when a paused process
/// continues.
BOOST_AUTO_TEST_CASE(answersARequestThatArrivedWhileTheProcessWasPaused)
{
    limits.idleTimeout = milliseconds(200);
    limits.messageTimeout = milliseconds(200);
    setLimits();
    std::vector<std::string> answers;
    run([&] {
        RawClient idle(port);
        RawClient partial(port);
        static_cast<void>(isAnswered(idle));
        partial.send("POST / HTTP/1.1\r\nContent-Length: 40000\r\n\r\n");
        asio::post(loop.context(), [&] {
            idle.send(simpleRequest);
            partial.send(std::string(40000, 'x'));
            RawClient::sleep(milliseconds(500));
        });
        answers.push_back(idle.readResponse().substr(0, 12));
        answers.push_back(partial.readResponse().substr(0, 12));
    });
    for (const auto &answer : answers)
        BOOST_TEST(answer == "HTTP/1.1 200");
}

/// Guards against recursion with each pipelined request, and against reading ahead without bound.
BOOST_AUTO_TEST_CASE(answersPipelinedRequestsInOrder)
{
    constexpr int requests = 5000;
    std::string pipeline;
    for (int i = 0; i < requests; ++i)
        pipeline += "GET /" + std::to_string(i) + " HTTP/1.1\r\n\r\n";
    int answers = 0;
    run([&] {
        RawClient client(port);
        std::thread sender([&] { client.send(pipeline); });
        while (answers < requests && client.readResponse().starts_with("HTTP/1.1 200"))
            ++answers;
        sender.join();
    });
    BOOST_TEST(answers == requests);
    BOOST_REQUIRE(received.size() == static_cast<std::size_t>(requests));
    for (int i = 0; i < requests; ++i)
        BOOST_REQUIRE(received[static_cast<std::size_t>(i)] == "/" + std::to_string(i));
    BOOST_TEST(budget->used() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
