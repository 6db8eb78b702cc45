#include "httpservice.h"
#include "kernelloop.h"

#include <boost/test/unit_test.hpp>

#include <httplib.h>

using namespace cowsliprock;
using namespace std::chrono_literals;

namespace {

constexpr int port = 29411; // Outside the ephemeral port range.

/// An HTTP service with a kernel that has no stages and therefore answers no request.
struct HttpServiceFixture
{
    HttpServiceFixture()
    {
        settings.httpAddress = "127.0.0.1:" + std::to_string(port);
        settings.bodyLimitBytes = 1000;
        settings.httpThreads = 4;
        settings.readTimeout = 200ms;
        KernelLoop::Builder kernelBuilder;
        kernelBuilder.settings = settings.kernel;
        kernelBuilder.ringSize = 16;
        kernelBuilder.clock = &clock;
        kernelBuilder.metrics = &metrics;
        kernelBuilder.perform = [](Effect &) -> std::optional<Event> { return std::nullopt; };
        kernel = kernelBuilder.build();
        kernel->start();
        auto built = HttpService::Builder{ &settings, kernel.get(), &bodies, &metrics }.build();
        BOOST_REQUIRE(built.has_value());
        http = std::move(built.value());
    }

    DaemonSettings settings;
    Clock clock;
    Metrics metrics;
    BodyStore bodies;
    std::unique_ptr<KernelLoop> kernel;
    std::unique_ptr<HttpService> http;
};

} // namespace

// Guards against invalid input that stops the daemon, reaches the kernel or leaks memory.
BOOST_AUTO_TEST_CASE(invalidInputIsRejectedWithoutLeak)
{
    HttpServiceFixture fixture;
    httplib::Client client("127.0.0.1", port);
    const char *path = "/services/fleetdesk/check";

    const httplib::Headers keyHeader = { { "Idempotency-Key", "k" } };
    const auto oversized = client.Post(path, keyHeader, std::string(2000, 'x'), "text/plain");
    BOOST_REQUIRE(static_cast<bool>(oversized));
    BOOST_TEST(oversized->status == 413);

    const auto withoutKey = client.Post(path, "x", "text/plain");
    BOOST_REQUIRE(static_cast<bool>(withoutKey));
    BOOST_TEST(withoutKey->status == 400);
    BOOST_TEST(withoutKey->get_header_value("X-Outcome") == "not-run");

    // The client stops in the middle of the request body; the read timeout closes the connection.
    httplib::Client slowClient("127.0.0.1", port);
    const auto truncated = slowClient.Post(
        path, keyHeader, 100,
        [](std::size_t offset, std::size_t, httplib::DataSink &sink) {
            if (offset == 0)
                return sink.write("half", 4);
            std::this_thread::sleep_for(600ms);
            return false;
        },
        "text/plain");
    BOOST_TEST((!truncated || truncated->status >= 400));

    const auto health = httplib::Client("127.0.0.1", port).Get("/healthz");
    BOOST_REQUIRE(static_cast<bool>(health));
    BOOST_TEST(health->status == 200);
    BOOST_TEST(fixture.bodies.size() == 0U);
}

// Guards against a load balancer that sends requests to a daemon that is not ready.
BOOST_AUTO_TEST_CASE(readyzReportsReadiness)
{
    HttpServiceFixture fixture;
    httplib::Client client("127.0.0.1", port);
    BOOST_TEST(client.Get("/readyz")->status == 503);
    fixture.http->setReady(true, {});
    BOOST_TEST(client.Get("/readyz")->status == 200);
    fixture.http->setReady(false, "draining");
    const auto answer = client.Get("/readyz");
    BOOST_TEST(answer->status == 503);
    BOOST_TEST(answer->body == "draining\n");
}
