#include <eventloop/eventloop.h>
#include <eventloop/httpclient.h>
#include <eventloop/httpserver.h>

#include <boost/test/unit_test.hpp>

#include <variant>
#include <vector>

using namespace cowsliprock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A server on loopback and a client of it, in one loop.
struct Fixture
{
    Fixture()
    {
        const auto bound = server.listen({ "127.0.0.1", 0 }, {});
        BOOST_REQUIRE(bound.has_value());
        address = bound.value();
        loop.after(seconds(20), [this] {
            BOOST_ERROR("the test did not end");
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
                          else
                              respond({ 200, {}, request.target + request.body });
                      } };
    HttpClient client{ loop };
    SocketAddress address;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http, Fixture)

BOOST_AUTO_TEST_CASE(keepsOneConnectionForCallsInTurn)
{
    int answers = 0;
    std::function<void(HttpOutcome)> next = [&](const HttpOutcome &outcome) {
        BOOST_REQUIRE(std::holds_alternative<HttpAnswer>(outcome));
        BOOST_TEST(std::get<HttpAnswer>(outcome).body == "/echohello");
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

BOOST_AUTO_TEST_CASE(saysThatARequestMayHaveBeenReadWhenNoAnswerComes)
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

BOOST_AUTO_TEST_CASE(saysThatARequestWasNotSentWhenNobodyListens)
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
            answered = std::holds_alternative<HttpAnswer>(outcome);
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
                    if (const auto *answer = std::get_if<HttpAnswer>(&outcome))
                        status = answer->status;
                    loop.stop();
                });
    loop.run();
    // The server may close before the client has written everything.
    BOOST_TEST((status == 413U || status == 0U));
}

BOOST_AUTO_TEST_CASE(parsesAddresses)
{
    BOOST_TEST((parseSocketAddress("10.0.0.1:80") == SocketAddress{ "10.0.0.1", 80 }));
    BOOST_TEST(parseSocketAddress("10.0.0.1").port == 0);
    BOOST_TEST(parseSocketAddress("10.0.0.1:99999").port == 0);
    BOOST_TEST(parseSocketAddress("10.0.0.1:8x").port == 0);
}

BOOST_AUTO_TEST_SUITE_END()
