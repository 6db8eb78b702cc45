#include <experiment/faultproxy.h>
#include <experiment/plan.h>
#include <experiment/socketowners.h>

#include <eventloop/eventloop.h>
#include <eventloop/httpclient.h>
#include <eventloop/httpserver.h>

#include <boost/test/unit_test.hpp>

#include <set>
#include <unistd.h>

using namespace cowsliprock;
using namespace cowsliprock::experiment;
using namespace std::chrono_literals;

namespace {

/// An HTTP server behind a proxy, and a client that connects through the proxy.
struct Fixture
{
    Fixture()
    {
        const SocketAddress anyPort{ "127.0.0.1", 0 };
        proxy.emplace(loop, server.listen(anyPort, {}).value());
        address = proxy->listen(anyPort).value();
    }

    HttpOutcome call(Duration timeout = 2s)
    {
        HttpCall request;
        request.peer = address;
        request.timeout = timeout;
        std::optional<HttpOutcome> result;
        client.call(request, [this, &result](HttpOutcome outcome) {
            result = std::move(outcome);
            loop.stop();
        });
        loop.run();
        return *result;
    }

    EventLoop loop;
    HttpServer server{ loop, [this](const HttpRequest &, const HttpServer::Respond &respond) {
                          ++served;
                          respond({});
                      } };
    std::optional<FaultProxy> proxy;
    SocketAddress address;
    HttpClient client{ loop };
    int served = 0;
};

bool answered(const HttpOutcome &outcome)
{
    return std::holds_alternative<HttpResponse>(outcome);
}

} // namespace

BOOST_FIXTURE_TEST_CASE(proxyForwardsAndCounts, Fixture)
{
    BOOST_TEST(answered(call()));
    BOOST_TEST(proxy->connections() == 1U);
    BOOST_TEST(proxy->bytes(Direction::ToServer) > 0U);
    BOOST_TEST(proxy->bytes(Direction::ToClient) > 0U);
}

BOOST_FIXTURE_TEST_CASE(silencedConnectionStaysOpenAndANewOneWorks, Fixture)
{
    BOOST_TEST(answered(call()));
    proxy->silenceConnections();
    const auto silent = call(100ms);
    BOOST_REQUIRE(!answered(silent));
    BOOST_TEST(std::get<HttpFailure>(silent).timedOut);
    BOOST_TEST(answered(call()));
}

BOOST_FIXTURE_TEST_CASE(droppingOneDirectionLosesOnlyThatTraffic, Fixture)
{
    proxy->setDropping(Direction::ToClient, true);
    BOOST_TEST(!answered(call(100ms)));
    BOOST_TEST(served == 1);
    proxy->setDropping(Direction::ToClient, false);
    proxy->setDropping(Direction::ToServer, true);
    BOOST_TEST(!answered(call(100ms)));
    BOOST_TEST(served == 1);
}

BOOST_FIXTURE_TEST_CASE(resetEndsOpenConnections, Fixture)
{
    BOOST_TEST(answered(call()));
    proxy->resetConnections();
    const auto outcome = call();
    BOOST_TEST((answered(outcome) || !std::get<HttpFailure>(outcome).timedOut));
}

// Guards against partitions that lose data of open connections or let new connections through.
BOOST_FIXTURE_TEST_CASE(heldDataArrivesAfterRelease, Fixture)
{
    BOOST_TEST(answered(call()));
    proxy->holdConnections([](const auto &, const auto &) { return true; });
    loop.after(200ms, [this] { proxy->releaseConnections(); });
    BOOST_TEST(answered(call()));
    BOOST_TEST(served == 2);
}

BOOST_FIXTURE_TEST_CASE(heldNewConnectionIsResetOnRelease, Fixture)
{
    proxy->holdConnections([](const auto &, const auto &) { return true; });
    loop.after(200ms, [this] { proxy->releaseConnections(); });
    BOOST_TEST(!answered(call()));
    BOOST_TEST(served == 0);
    BOOST_TEST(answered(call()));
}

BOOST_FIXTURE_TEST_CASE(connectionsThatTheRuleDoesNotSelectAreForwarded, Fixture)
{
    SocketAddress clientEnd;
    proxy->holdConnections([&](const SocketAddress &from, const SocketAddress &to) {
        clientEnd = from;
        BOOST_TEST((to == address));
        return false;
    });
    BOOST_TEST(answered(call()));
    const auto other = SocketOwners({ getpid() + 1 }).find(clientEnd, address);
    BOOST_TEST((other == std::nullopt));
    BOOST_TEST((SocketOwners({ getpid() }).find(clientEnd, address) == getpid()));
}

// Guards against a random plan whose written document cannot be run again: formatPlan() and
// parsePlan() must agree on all fields.
BOOST_AUTO_TEST_CASE(randomPlanRoundTripsThroughItsDocument)
{
    for (std::uint32_t seed = 0; seed < 50; ++seed) {
        const auto text = formatPlan(randomPlan(seed, 1));
        const auto plan = parsePlan(text);
        BOOST_REQUIRE(std::holds_alternative<Plan>(plan));
        BOOST_TEST(formatPlan(std::get<Plan>(plan)) == text);
    }
}

BOOST_AUTO_TEST_CASE(randomPlansCoverEveryFaultKind)
{
    std::set<FaultKind> kinds;
    for (std::uint32_t seed = 0; seed < 50; ++seed) {
        for (const auto &fault : randomPlan(seed, 1).faults)
            kinds.insert(fault.kind);
    }
    BOOST_TEST(kinds.size() == static_cast<std::size_t>(FaultKind::GroupPartitioned) + 1);
}

BOOST_AUTO_TEST_CASE(allErrorsOfAPlanAreReportedTogether)
{
    const auto plan = parsePlan(R"({"daemons":0,"kinds":[{"name":"Upper"}],
                                    "troubles":[{"kind":"noSuch","atMs":1}]})");
    BOOST_REQUIRE(std::holds_alternative<std::vector<DocumentError>>(plan));
    const auto &errors = std::get<std::vector<DocumentError>>(plan);
    std::set<std::string> paths;
    for (const auto &error : errors)
        paths.insert(error.path);
    BOOST_TEST(paths.contains("/daemons"));
    BOOST_TEST(paths.contains("/kinds/0/name"));
    BOOST_TEST(paths.contains("/troubles/0/kind"));
}
