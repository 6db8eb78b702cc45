#pragma once

#include "rawclient.h"

#include <eventloop/asio.h>
#include <eventloop/bytebudget.h>
#include <eventloop/eventloop.h>
#include <eventloop/httpserver.h>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cowsliprock {

constexpr std::size_t headerBytes = 4096;
constexpr std::size_t bodyBytes = 64UL * 1024UL;
constexpr std::size_t totalBytes = 256UL * 1024UL;
constexpr std::size_t maxConnections = 4;
/// More than the socket buffers of both ends can hold.
constexpr std::size_t endlessBytes = 64UL * 1024UL * 1024UL;

/// A server with low limits, and clients that send bytes of their choice from another thread.
struct LimitedServer
{
    LimitedServer()
    {
        limits.headerBytes = headerBytes;
        limits.bodyBytes = bodyBytes;
        server.setBudget(budget);
        server.onLimit([this](HttpLimit limit) { ++exceeded[limit]; });
        const auto bound = server.listen({ "127.0.0.1", 0 }, limits);
        BOOST_REQUIRE(bound.has_value());
        port = bound.value().port;
    }

    void setLimits() { server.setLimits(limits); }

    /// Runs the event loop until \p client, which runs on a thread of its own, has ended.
    void run(const std::function<void()> &client) { runWithClient(loop, client); }

    /// Calls \p value on the thread of the event loop, for use by clients.
    std::size_t onLoop(const std::function<std::size_t()> &value)
    {
        std::promise<std::size_t> promise;
        boost::asio::post(loop.context(), [&] { promise.set_value(value()); });
        return promise.get_future().get();
    }

    /// Number of open connections, for use by clients.
    std::size_t openConnections()
    {
        return onLoop([this] { return server.connections(); });
    }

    void handle(const HttpRequest &request, HttpServer::Respond respond)
    {
        received.push_back(request.target);
        if (request.target == "/hold")
            held.push_back(std::move(respond));
        else if (request.target == "/large")
            respond({ 200, {}, std::string(endlessBytes, 'x') });
        else
            respond({ 200, {}, request.body });
    }

    /// Sends \p head and then \p repeated without end, which the server must answer with \p status.
    void sendEndless(const std::string &head, const std::string &repeated,
                     const std::string &status)
    {
        std::size_t sent = 0;
        std::string answer;
        run([&] {
            RawClient client(port);
            client.send(head);
            sent = client.sendUntilAnswered(repeated, endlessBytes);
            answer = client.readUntilClosed();
        });
        BOOST_TEST(sent < endlessBytes);
        BOOST_TEST(answer.substr(0, 12) == "HTTP/1.1 " + status);
        BOOST_TEST(received.empty());
    }

    /// Answers the held requests once there are \p count of them.
    void answerHeld(std::size_t count)
    {
        if (held.size() < count) {
            loop.after(std::chrono::milliseconds(10), [this, count] { answerHeld(count); });
            return;
        }
        for (const auto &respond : held)
            respond({ 200, {}, "held" });
        held.clear();
    }

    EventLoop loop;
    HttpServer::Limits limits;
    std::shared_ptr<ByteBudget> budget = std::make_shared<ByteBudget>(totalBytes);
    std::map<HttpLimit, int> exceeded;
    std::vector<std::string> received; ///< Targets of the requests that reached the handler.
    std::vector<HttpServer::Respond> held;
    HttpServer server{ loop, [this](const HttpRequest &request, HttpServer::Respond respond) {
                          handle(request, std::move(respond));
                      } };
    std::uint16_t port = 0;
};

inline const std::string chunkedHead =
    "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
inline const std::string simpleRequest = "GET /simple HTTP/1.1\r\nHost: a\r\n\r\n";

inline bool isAnswered(RawClient &client)
{
    return client.send(simpleRequest) && client.readResponse().starts_with("HTTP/1.1 200");
}

} // namespace cowsliprock
