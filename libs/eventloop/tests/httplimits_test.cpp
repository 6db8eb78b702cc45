#include "rawclient.h"

#include <eventloop/asio.h>
#include <eventloop/eventloop.h>
#include <eventloop/httpserver.h>

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace cowsliprock;
using std::chrono::seconds;

namespace {

constexpr std::size_t headerBytes = 4096;
/// More than the socket buffers of both ends can hold.
constexpr std::size_t endlessBytes = 64UL * 1024UL * 1024UL;

/// A server with low limits, and clients that send bytes of their choice from another thread.
struct Fixture
{
    Fixture()
    {
        HttpServer::Limits limits;
        limits.headerBytes = headerBytes;
        const auto bound = server.listen({ "127.0.0.1", 0 }, limits);
        BOOST_REQUIRE(bound.has_value());
        port = bound.value().port;
    }

    /// Runs the event loop until \p client, which runs on a thread of its own, has ended.
    void run(const std::function<void()> &client) { runWithClient(loop, client); }

    EventLoop loop;
    std::vector<std::string> received; ///< Targets of the requests that reached the handler.
    HttpServer server{ loop,
                       [this](const HttpRequest &request, const HttpServer::Respond &respond) {
                           received.push_back(request.target);
                           respond({ 200, {}, request.body });
                       } };
    std::uint16_t port = 0;
};

const std::string chunkedHead = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

BOOST_FIXTURE_TEST_SUITE(httplimits, Fixture)

/// Guards against buffering trailers without a bound, with which eight clients filled the memory of
/// a machine.
BOOST_AUTO_TEST_CASE(rejectsEndlessTrailers)
{
    std::size_t sent = 0;
    std::string answer;
    run([&] {
        RawClient client(port);
        client.send(chunkedHead + "1\r\nx\r\n0\r\n");
        const std::string trailer = "Trailer: " + std::string(100, 'x') + "\r\n";
        sent = client.sendUntilAnswered(trailer, endlessBytes);
        answer = client.readUntilClosed();
    });
    BOOST_TEST(sent < endlessBytes);
    BOOST_TEST(answer.starts_with("HTTP/1.1 431"));
    BOOST_TEST(received.empty());
}

BOOST_AUTO_TEST_CASE(acceptsTrailersWithinTheLimit)
{
    std::string answer;
    run([&] {
        RawClient client(port);
        client.send(chunkedHead + "5\r\nhello\r\n0\r\nTrailer: " + std::string(1000, 'x')
                    + "\r\n\r\n");
        answer = client.readResponse();
    });
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
    BOOST_TEST(answer.ends_with("hello"));
}

BOOST_AUTO_TEST_SUITE_END()
