#include <eventloop/asio.h>
#include <eventloop/bytebudget.h>
#include <eventloop/eventloop.h>
#include <eventloop/httpclient.h>
#include <eventloop/httpserver.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace asio = boost::asio;
using namespace cowsliprock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t headerBytes = 4096;
constexpr std::size_t bodyBytes = 1024UL * 1024UL;
constexpr std::size_t totalBytes = 1024UL * 1024UL;
constexpr std::size_t endlessBytes = 48UL * 1024UL * 1024UL;

HttpClientLimits clientLimits()
{
    return { headerBytes, bodyBytes };
}

/// One connection of a peer that sends a text and then, if it is not empty, another one repeatedly.
class HostilePeer : public std::enable_shared_from_this<HostilePeer>
{
public:
    HostilePeer(asio::ip::tcp::socket socket, std::string first, std::string repeated)
        : m_socket(std::move(socket))
        , m_first(std::move(first))
        , m_repeated(std::move(repeated))
    { }

    void start()
    {
        asio::async_read_until(m_socket, asio::dynamic_buffer(m_request), "\r\n\r\n",
                               [self = shared_from_this()](const boost::system::error_code &error,
                                                           std::size_t /*bytes*/) {
                                   if (!error)
                                       self->write(self->m_first);
                               });
    }

    std::size_t sent = 0;

private:
    void write(const std::string &text)
    {
        asio::async_write(
            m_socket, asio::buffer(text),
            [self = shared_from_this()](const boost::system::error_code &error, std::size_t bytes) {
                self->sent += bytes;
                if (!error && !self->m_repeated.empty() && self->sent < endlessBytes)
                    self->write(self->m_repeated);
            });
    }

    asio::ip::tcp::socket m_socket;
    std::string m_request;
    std::string m_first;
    std::string m_repeated;
};

struct Fixture
{
    Fixture()
    {
        client.setBudget(budget);
        loop.after(seconds(20), [this] {
            BOOST_ERROR("test timed out");
            loop.stop();
        });
    }

    void listen(const std::string &first, const std::string &repeated)
    {
        acceptor.async_accept([this, first, repeated](const boost::system::error_code &error,
                                                      asio::ip::tcp::socket socket) {
            if (error)
                return;
            peers.push_back(std::make_shared<HostilePeer>(std::move(socket), first, repeated));
            peers.back()->start();
            listen(first, repeated);
        });
    }

    HttpCall request() const
    {
        HttpCall call;
        call.peer = { "127.0.0.1", acceptor.local_endpoint().port() };
        call.timeout = seconds(10);
        return call;
    }

    /// Calls a peer whose response must be rejected long before it ends.
    void callEndless(const std::string &first, const std::string &repeated)
    {
        listen("HTTP/1.1 200 OK\r\n" + first, repeated);
        client.call(request(), [this](const HttpOutcome &outcome) {
            const auto *failure = std::get_if<HttpFailure>(&outcome);
            BOOST_REQUIRE(failure != nullptr);
            BOOST_TEST(failure->sent);
            BOOST_TEST(!failure->timedOut);
            loop.stop();
        });
        loop.run();
        BOOST_TEST(peers.front()->sent < endlessBytes);
        BOOST_TEST(budget->used() == 0U);
    }

    EventLoop loop;
    std::shared_ptr<ByteBudget> budget = std::make_shared<ByteBudget>(totalBytes);
    HttpClient client{ loop, clientLimits() };
    asio::ip::tcp::acceptor acceptor{
        loop.context(), asio::ip::tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"), 0)
    };
    std::vector<std::shared_ptr<HostilePeer>> peers;
};

const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

BOOST_FIXTURE_TEST_SUITE(clientlimits, Fixture)

/// Guards against a worker or a store that fills the daemon's memory with its response.
BOOST_AUTO_TEST_CASE(rejectsEndlessTrailers)
{
    callEndless(chunked + "1\r\nx\r\n0\r\n", "Trailer: " + std::string(1000, 'x') + "\r\n");
}

BOOST_AUTO_TEST_CASE(rejectsAnEndlessChunkExtension)
{
    callEndless(chunked + "1;name=", std::string(1000, 'x'));
}

BOOST_AUTO_TEST_CASE(rejectsManyChunkExtensions)
{
    callEndless(chunked, "1;name=" + std::string(1000, 'x') + "\r\ny\r\n");
}

BOOST_AUTO_TEST_CASE(rejectsEndlessHeaderFields)
{
    callEndless("", "Field: x\r\n");
}

BOOST_AUTO_TEST_CASE(rejectsAnEndlessHeaderField)
{
    callEndless("Field: ", std::string(1000, 'x'));
}

BOOST_AUTO_TEST_CASE(rejectsAnEndlessChunkedBody)
{
    callEndless(chunked, "3e8\r\n" + std::string(1000, 'x') + "\r\n");
}

BOOST_AUTO_TEST_CASE(rejectsAnEndlessBodyWithoutLength)
{
    callEndless("\r\n", std::string(1000, 'x'));
}

/// Guards against many responses, each within its limit, that are never completed.
BOOST_AUTO_TEST_CASE(limitsTheBytesOfAllResponses)
{
    listen("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + std::string(300000, 'x'), "");
    constexpr int calls = 8;
    int ended = 0;
    int rejected = 0;
    auto call = request();
    call.timeout = seconds(1);
    for (int i = 0; i < calls; ++i) {
        client.call(call, [&](const HttpOutcome &outcome) {
            const auto *failure = std::get_if<HttpFailure>(&outcome);
            BOOST_REQUIRE(failure != nullptr);
            rejected += failure->timedOut ? 0 : 1;
            BOOST_TEST(budget->used() <= totalBytes);
            if (++ended == calls)
                loop.stop();
        });
    }
    loop.run();
    // At most three of these responses fit.
    BOOST_TEST(rejected >= calls - 3);
    BOOST_TEST(budget->used() == 0U);
}

/// Guards against taking bytes that arrived before a request for its response.
BOOST_AUTO_TEST_CASE(doesNotReuseAConnectionWithUnsolicitedBytes)
{
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";
    listen(response + "1" + response + "2", "");
    std::vector<std::string> bodies;
    const auto store = [&](const HttpOutcome &outcome) {
        BOOST_REQUIRE(std::holds_alternative<HttpResponse>(outcome));
        bodies.push_back(std::get<HttpResponse>(outcome).body);
    };
    client.call(request(), [&](const HttpOutcome &first) {
        store(first);
        client.call(request(), [&](const HttpOutcome &second) {
            store(second);
            loop.stop();
        });
    });
    loop.run();
    BOOST_TEST(bodies == (std::vector<std::string>{ "1", "1" }), boost::test_tools::per_element());
}

/// Guards against a call that is lost because the server closed the idle connection long before.
BOOST_AUTO_TEST_CASE(doesNotReuseAConnectionThatTheServerHasClosed)
{
    HttpServer server(loop,
                      [](const HttpRequest &, const HttpServer::Respond &respond) { respond({}); });
    HttpServer::Limits limits;
    limits.idleTimeout = milliseconds(50);
    const auto bound = server.listen({ "127.0.0.1", 0 }, limits);
    BOOST_REQUIRE(bound.has_value());
    auto call = request();
    call.peer = bound.value();
    client.call(call, [&](const HttpOutcome &) {
        loop.after(milliseconds(200), [&] {
            client.call(call, [&](const HttpOutcome &outcome) {
                BOOST_TEST(std::holds_alternative<HttpResponse>(outcome));
                loop.stop();
            });
        });
    });
    loop.run();
    BOOST_TEST(client.traffic().connectionsOpened == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
