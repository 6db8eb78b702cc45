#include <eventloop/asio.h>
#include <eventloop/eventloop.h>
#include <eventloop/httpclient.h>
#include <eventloop/httpserver.h>

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

namespace asio = boost::asio;
using namespace cowsliprock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A server on the loopback interface and its client, both on one event loop.
struct Fixture
{
    Fixture()
    {
        const auto bound = server.listen({ "127.0.0.1", 0 }, {});
        BOOST_REQUIRE(bound.has_value());
        address = bound.value();
        loop.after(seconds(20), [this] {
            BOOST_ERROR("test timed out");
            loop.stop();
        });
    }

    HttpCall request(const std::string &target, const std::string &body = {})
    {
        HttpCall call;
        call.peer = address;
        call.method = body.empty() ? "GET" : "POST";
        call.target = target;
        call.body = body;
        call.timeout = milliseconds(300);
        return call;
    }

    EventLoop loop;
    std::vector<HttpServer::Respond> held;
    HttpServer server{ loop, [this](const HttpRequest &request, HttpServer::Respond respond) {
                          if (request.target == "/hold")
                              held.push_back(std::move(respond));
                          else if (request.target == "/throw")
                              throw std::runtime_error("handler failed");
                          else
                              respond({ 200, {}, request.target + request.body });
                      } };
    HttpClient client{ loop };
    SocketAddress address;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http, Fixture)

BOOST_AUTO_TEST_CASE(reusesOneConnectionForSequentialCalls)
{
    int answers = 0;
    std::function<void(HttpOutcome)> next = [&](const HttpOutcome &outcome) {
        BOOST_REQUIRE(std::holds_alternative<HttpResponse>(outcome));
        BOOST_TEST(std::get<HttpResponse>(outcome).body == "/echohello");
        if (++answers == 5)
            loop.stop();
        else
            client.call(request("/echo", "hello"), next);
    };
    client.call(request("/echo", "hello"), next);
    loop.run();
    BOOST_TEST(answers == 5);
    BOOST_TEST(client.traffic().connectionsOpened == 1U);
}

BOOST_AUTO_TEST_CASE(servesOthersAfterAHandlerHasThrown)
{
    int errors = 0;
    loop.onUnexpectedError([&errors](const std::string &) { ++errors; });
    client.call(request("/throw"), [&](const HttpOutcome &outcome) {
        // The outcome of the request is unknown to the caller.
        const auto *failure = std::get_if<HttpFailure>(&outcome);
        BOOST_REQUIRE(failure != nullptr);
        BOOST_TEST(failure->sent);
        client.call(request("/echo", "after"), [&](const HttpOutcome &next) {
            BOOST_REQUIRE(std::holds_alternative<HttpResponse>(next));
            BOOST_TEST(std::get<HttpResponse>(next).body == "/echoafter");
            loop.stop();
        });
    });
    loop.run();
    BOOST_TEST(errors == 1);
}

BOOST_AUTO_TEST_CASE(reportsALateAnswerAndKeepsItsConnection)
{
    std::vector<bool> late;
    auto call = request("/hold");
    call.timeout = milliseconds(50);
    call.lateResponseWindow = seconds(2);
    client.call(call, [&](const HttpOutcome &outcome) {
        if (const auto *failure = std::get_if<HttpFailure>(&outcome)) {
            BOOST_TEST(failure->timedOut);
            BOOST_TEST(failure->sent);
            BOOST_TEST(late.empty());
            late.push_back(false);
            held.front()({ 200, {}, "late" });
            return;
        }
        BOOST_TEST(std::get<HttpResponse>(outcome).late);
        late.push_back(true);
        client.call(request("/echo", "next"), [&](const HttpOutcome &next) {
            BOOST_TEST(std::holds_alternative<HttpResponse>(next));
            loop.stop();
        });
    });
    loop.run();
    BOOST_TEST(late == (std::vector<bool>{ false, true }), boost::test_tools::per_element());
    BOOST_TEST(client.traffic().connectionsOpened == 1U);
    BOOST_TEST(client.traffic().inFlight == 0U);
}

BOOST_AUTO_TEST_CASE(readsAnAnswerThatKeepsArrivingBeyondTheTimeout)
{
    // The server writes its response in chunks, each well within the timeout.
    asio::io_context &context = loop.context();
    asio::ip::tcp::acceptor acceptor(
        context, asio::ip::tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"), 0));
    asio::ip::tcp::socket peer(context);
    const std::string chunk(1000, 'x');
    int chunks = 0;
    std::function<void()> writeChunk = [&] {
        asio::write(peer, asio::buffer(chunk));
        if (++chunks < 8)
            loop.after(milliseconds(40), writeChunk);
    };
    acceptor.async_accept(peer, [&](const boost::system::error_code &error) {
        BOOST_REQUIRE(!error);
        asio::write(peer,
                    asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 8000\r\n\r\n")));
        writeChunk();
    });
    auto call = request("/list");
    call.peer.port = acceptor.local_endpoint().port();
    call.timeout = milliseconds(150);
    call.maxDuration = seconds(5);
    client.call(call, [&](const HttpOutcome &outcome) {
        BOOST_REQUIRE(std::holds_alternative<HttpResponse>(outcome));
        BOOST_TEST(std::get<HttpResponse>(outcome).body.size() == 8000U);
        loop.stop();
    });
    loop.run();
}

BOOST_AUTO_TEST_CASE(reportsARequestAsSentWhenItTimesOut)
{
    client.call(request("/hold"), [&](const HttpOutcome &outcome) {
        const auto *failure = std::get_if<HttpFailure>(&outcome);
        BOOST_REQUIRE(failure != nullptr);
        BOOST_TEST(failure->sent);
        BOOST_TEST(failure->timedOut);
        loop.stop();
    });
    loop.run();
}

BOOST_AUTO_TEST_CASE(reportsARequestAsNotSentWhenTheConnectionIsRefused)
{
    HttpCall call = request("/x");
    call.peer.port = 1;
    client.call(call, [&](const HttpOutcome &outcome) {
        const auto *failure = std::get_if<HttpFailure>(&outcome);
        BOOST_REQUIRE(failure != nullptr);
        BOOST_TEST(!failure->sent);
        loop.stop();
    });
    loop.run();
}

BOOST_AUTO_TEST_CASE(closesIdleConnectionsAndAnswersTheOthers)
{
    bool answered = false;
    client.call(request("/idle"), [&](const HttpOutcome &) {
        client.call(request("/hold"), [&](const HttpOutcome &outcome) {
            answered = std::holds_alternative<HttpResponse>(outcome);
        });
        auto second = request("/idle");
        second.freshConnection = true;
        client.call(second, [&](const HttpOutcome &) {
            server.closeIdle();
            loop.after(milliseconds(50), [&] {
                BOOST_TEST(server.connections() == 1U);
                held.front()({ 200, {}, "late" });
                held.clear();
                loop.after(milliseconds(50), [&] { loop.stop(); });
            });
        });
    });
    loop.run();
    BOOST_TEST(answered);
    BOOST_TEST(server.connections() == 0U);
}

BOOST_AUTO_TEST_CASE(rejectsABodyThatIsTooLarge)
{
    unsigned status = 0;
    client.call(request("/echo", std::string(1024UL * 1024UL, 'x')),
                [&](const HttpOutcome &outcome) {
                    if (const auto *answer = std::get_if<HttpResponse>(&outcome))
                        status = answer->status;
                    loop.stop();
                });
    loop.run();
    // The server may close the connection before the client has sent the whole body.
    BOOST_TEST((status == 413U || status == 0U));
}

BOOST_AUTO_TEST_CASE(parsesAddresses)
{
    BOOST_TEST((parseSocketAddress("10.0.0.1:80") == SocketAddress{ "10.0.0.1", 80 }));
    BOOST_TEST(parseSocketAddress("10.0.0.1").port == 0);
    BOOST_TEST(parseSocketAddress("10.0.0.1:99999").port == 0);
    BOOST_TEST(parseSocketAddress("10.0.0.1:8x").port == 0);
    BOOST_TEST(parseSocketAddress("10.0.0.1:-8").port == 0);
    for (const auto *ip : { "", "nowhere", "10.0.0", "10.0.0.256", "::1" })
        BOOST_TEST((parseSocketAddress(std::string(ip) + ":80") == SocketAddress{}), ip);
}

BOOST_AUTO_TEST_SUITE_END()
