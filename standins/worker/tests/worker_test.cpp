#include <platform/endpointclient.h>
#include <platform/workerclient.h>
#include <standinworker/fleet.h>

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace cowsliprock;
using namespace std::chrono_literals;
using event::EndpointOutcome;
using message::StartOutcome;

namespace {

struct FleetFixture
{
    FleetFixture()
    {
        standin::FleetOptions options;
        options.properties.capacity = { 1000, 1000, 0 };
        options.properties.serviceTime = 0ms;
        fleet = std::make_unique<standin::Fleet>(options);
        BOOST_REQUIRE(fleet->listen());
        address = fleet->vms()[0].address;
    }

    StartOutcome start(const std::string &attempt, const std::string &service = {},
                       Duration lease = 30s)
    {
        TaskLaunch launch;
        launch.attempt = AttemptId(attempt);
        launch.job = JobId("j");
        launch.declared = { 600, 10, 0 };
        launch.expectedRunTime = 10s;
        launch.service = service;
        launch.slots = 8;
        return client.start({ name, address, launch, lease, TimePoint::max() }).outcome;
    }

    event::WorkerReport report()
    {
        return std::get<event::WorkerReport>(
            client.poll({ name, address, {}, 30s, TimePoint::max() }));
    }

    bool stop(const std::string &attempt)
    {
        return client
            .stop({ AttemptId(attempt), name, address, effect::StopTask::Mode::Stop,
                    TimePoint::max() })
            .confirmed;
    }

    EndpointResult request(const std::string &attempt, const std::string &method = "POST")
    {
        effect::CallEndpoint call;
        call.attempt = AttemptId(attempt);
        call.address = address;
        call.request.method = method;
        call.request.service = "planner";
        call.request.path = "/plan";
        call.request.timeLeft = 5s;
        call.validUntil = TimePoint::max();
        return endpoints.call(call, { "text/plain", "" });
    }

    Clock clock;
    WorkerName name{ "worker-0" };
    std::string address;
    std::unique_ptr<standin::Fleet> fleet;
    WorkerClient client{ {}, clock };
    EndpointClient endpoints{ {}, clock };
};

} // namespace

// Guards against a stand-in that does not record overload or overlapping runs. The failure tests
// rely on these observations.
BOOST_FIXTURE_TEST_CASE(overloadAndOverlapsAreRecorded, FleetFixture)
{
    BOOST_TEST((start("a1") == StartOutcome::Started));
    BOOST_TEST((start("a1") == StartOutcome::Started));
    BOOST_TEST(fleet->worker(0).observations().runs.size() == 1U);
    BOOST_TEST(standin::findOverlaps(fleet->worker(0).observations().runs).empty());
    BOOST_TEST((start("a2") == StartOutcome::Started));
    const auto observed = fleet->worker(0).observations();
    BOOST_TEST(observed.maximumDeclared.cpuMillis == 1200);
    BOOST_REQUIRE(standin::findOverlaps(observed.runs).size() == 1U);
    BOOST_TEST(stop("a1"));
    BOOST_TEST(stop("unknown"));
    BOOST_TEST((report().tasks[0].state == TaskState::Stopped));
}

// Guards against a task that continues after its lease expired. The scheduler may start a second
// attempt once the lease of the first has expired.
BOOST_FIXTURE_TEST_CASE(taskEndsWhenItsLeaseExpires, FleetFixture)
{
    BOOST_TEST((start("a1", {}, 50ms) == StartOutcome::Started));
    std::this_thread::sleep_for(60ms);
    BOOST_TEST((report().tasks[0].state == TaskState::Lapsed));
    BOOST_TEST((start("a2") == StartOutcome::Started));
    BOOST_TEST(standin::findOverlaps(fleet->worker(0).observations().runs).empty());
}

// Guards against requests executed on a worker without an endpoint for the service, and against
// outcomes that do not match the injected faults.
BOOST_FIXTURE_TEST_CASE(endpointReflectsItsTaskAndFaults, FleetFixture)
{
    BOOST_TEST((request("r0").reply.outcome == EndpointOutcome::Refused));
    BOOST_TEST((start("a1", "planner") == StartOutcome::Started));
    BOOST_TEST(report().endpoints.at(0).slots == 8U);
    for (const char *method : { "POST", "GET", "DELETE" })
        BOOST_TEST((request(method, method).reply.outcome == EndpointOutcome::Answered), method);
    fleet->worker(0).setFaults({ .truncateResponses = true });
    BOOST_TEST((request("r1").reply.outcome == EndpointOutcome::Unknown));
    fleet->worker(0).setFaults({ .leaving = true });
    const EndpointResult leaving = request("r2");
    BOOST_TEST((leaving.reply.outcome == EndpointOutcome::Refused));
    BOOST_TEST(leaving.reply.leaving);
    BOOST_TEST(report().endpoints.at(0).leaving);
    const auto observed = fleet->worker(0).observations();
    BOOST_TEST(observed.attempts.size() == 4U);
    BOOST_TEST(observed.lastRequestAfterLeaving.has_value());
}
