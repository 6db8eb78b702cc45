#include <platform/workerclient.h>

#include <kernel/serialization.h>

#include "rawserver.h"

#include <boost/test/unit_test.hpp>

using namespace cowsliprock;
using namespace std::chrono_literals;
using message::StartOutcome;

namespace {

struct WorkerFixture
{
    Clock clock;
    int errors = 0;
    WorkerClient client{ { "test", 500ms, 2s, [this](const Error &) { ++errors; } }, clock };

    static std::string answer(const std::string &status, const std::string &body)
    {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
    }

    WorkerClient::PollResult poll(const std::string &report)
    {
        const RawServer server([&](int socket) {
            RawServer::readUntil(socket, "}");
            RawServer::write(socket, answer("200 OK", report));
        });
        return client.poll({ WorkerName("w1"), server.address(), {}, 30s, TimePoint::max() });
    }

    StartOutcome start(const std::string &reply, TimePoint validUntil = TimePoint::max())
    {
        const RawServer server([&](int socket) {
            RawServer::readUntil(socket, "\"slots\":0}");
            RawServer::write(socket, reply);
        });
        return client.start({ WorkerName("w1"), server.address(), {}, 30s, validUntil }).outcome;
    }
};

} // namespace

// Guards against accepting an incomplete report, or a report from another worker that has taken
// over the address: the tasks of the polled worker would be regarded as gone.
BOOST_FIXTURE_TEST_CASE(incompleteOrForeignReportIsUnreachable, WorkerFixture)
{
    event::WorkerReport report;
    report.worker = WorkerName("w1");
    report.tasks.resize(1);
    std::string text = encodeWorkerReport(report);
    BOOST_TEST(std::get<event::WorkerReport>(poll(text)).tasks.size() == 1U);
    text.replace(text.find("\"tasks\""), 7, "\"tusks\"");
    BOOST_TEST(std::holds_alternative<event::WorkerUnreachable>(poll(text)));
    report.worker = WorkerName("w2");
    BOOST_TEST(std::holds_alternative<event::WorkerUnreachable>(poll(encodeWorkerReport(report))));
    BOOST_TEST(errors == 2);
}

// Guards against reporting NotStarted for a start that may have taken effect, and Started or
// Unknown for one that cannot have.
BOOST_FIXTURE_TEST_CASE(startOutcomeMatchesResponse, WorkerFixture)
{
    BOOST_TEST((start(answer("201 Created", "{}")) == StartOutcome::Started));
    BOOST_TEST((start(answer("503 No", "{}")) == StartOutcome::NotStarted));
    BOOST_TEST((start(answer("500 Error", "{}")) == StartOutcome::Unknown));
    BOOST_TEST((start("") == StartOutcome::Unknown));
    BOOST_TEST((start(answer("201 Created", "{}"), clock.now()) == StartOutcome::NotStarted));
}
