#include <cli/program.h>

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace cowsliprock;
using namespace cowsliprock::cli;

namespace {

const std::string example =
    std::string(COWSLIPROCK_SOURCE_DIR) + "/examples/duinrand/configuration.json";

/// Runs the program with a transport that returns the same response to every call.
struct ProgramRun
{
    ProgramRun(const std::vector<std::string> &arguments, const Result<HttpResponse> &response)
    {
        const Program program{ [&](const std::string &daemon, const HttpRequest &call) {
                                  daemons.push_back(daemon);
                                  last = call;
                                  return daemon == "gone:1" ? unreachable() : response;
                              },
                               out, errors };
        code = program.run(arguments);
    }

    [[nodiscard]] static Result<HttpResponse> unreachable()
    {
        return Error{ ErrorKind::Unavailable, "http", "gone:1", "connection refused" };
    }

    std::ostringstream out;
    std::ostringstream errors;
    std::vector<std::string> daemons;
    HttpRequest last;
    ExitCode code = ExitCode::Ok;
};

[[nodiscard]] HttpResponse makeResponse(int status, const std::string &body,
                                        const std::string &outcome = "")
{
    return { status, { { "x-outcome", outcome } }, body };
}

[[nodiscard]] bool returnsExitCode(ExitCode code, const std::vector<std::string> &arguments,
                                   const Result<HttpResponse> &response)
{
    return ProgramRun(arguments, response).code == code;
}

} // namespace

// Guards against exit codes that make scripts treat a refusal or an unknown outcome as a success.
BOOST_AUTO_TEST_CASE(exitCodesFollowTheResponse)
{
    const std::vector<std::string> request{ "request", "fleetdesk", "/x", "--daemon", "a:1" };
    BOOST_TEST(returnsExitCode(ExitCode::Ok, request,
                               makeResponse(500, "fault of the endpoint", "whole")));
    BOOST_TEST(returnsExitCode(ExitCode::Refused, request, makeResponse(503, "{}", "not-run")));
    BOOST_TEST(returnsExitCode(ExitCode::Unknown, request,
                               makeResponse(504, R"({"outcome":"unknown"})", "unknown")));
    BOOST_TEST(returnsExitCode(ExitCode::Unknown, request,
                               Error{ ErrorKind::Timeout, "http", "a:1", "" }));
    BOOST_TEST(returnsExitCode(ExitCode::Unreachable, request, ProgramRun::unreachable()));

    const std::vector<std::string> apply{ "configuration", "apply", example, "--base", "7",
                                          "--daemon",      "a:1" };
    BOOST_TEST(returnsExitCode(ExitCode::Ok, apply, makeResponse(200, R"({"version":8})")));
    BOOST_TEST(returnsExitCode(ExitCode::Conflict, apply, makeResponse(409, R"({"version":9})")));
    BOOST_TEST(returnsExitCode(ExitCode::Refused, apply, makeResponse(422, R"({"errors":[]})")));
    BOOST_TEST(
        returnsExitCode(ExitCode::Refused, apply, makeResponse(503, R"({"outcome":"not-run"})")));
    BOOST_TEST(
        returnsExitCode(ExitCode::Unknown, apply, makeResponse(503, R"({"outcome":"unknown"})")));
}

// Guards against sending calls to a daemon in spite of an invalid command line.
BOOST_AUTO_TEST_CASE(invalidCommandLinesSendNothing)
{
    for (const std::vector<std::string> &arguments : std::vector<std::vector<std::string>>{
             {},
             { "nonsense" },
             { "status", "--daemon", "a:1" },
             { "status", "x" },
             { "workers", "--daemon", "a:1", "--output", "xml" },
             { "workers", "--daemon", "a:1", "--unknown" },
             { "submit", "--daemon", "a:1" },
             { "submit", "name", "--file", "f", "--daemon", "a:1" },
             { "request", "s", "/p", "--deadline-ms", "25001", "--daemon", "a:1" },
             { "request", "s", "/p", "--priority", "high", "--daemon", "a:1" },
             { "configuration", "apply", example, "--daemon", "a:1" },
             { "configuration", "apply", "/no/such/file", "--base", "1", "--daemon", "a:1" } }) {
        const ProgramRun run(arguments, makeResponse(200, "{}"));
        BOOST_TEST((run.code == ExitCode::Usage), run.errors.str());
        BOOST_TEST(run.daemons.empty());
        BOOST_TEST(!run.errors.str().empty());
    }
}

// Guards against sending a call to a second daemon although the first may have executed it.
BOOST_AUTO_TEST_CASE(nextDaemonIsTriedOnlyIfNothingWasSent)
{
    const std::vector<std::string> arguments{ "submit",   "battery-sweep", "--daemon", "gone:1",
                                              "--daemon", "b:2",           "--daemon", "c:3" };
    const ProgramRun accepted(arguments, makeResponse(202, R"({"id":"noord-1"})"));
    BOOST_TEST((accepted.daemons == std::vector<std::string>{ "gone:1", "b:2" }));
    BOOST_TEST((accepted.code == ExitCode::Ok));
    const ProgramRun unknown(arguments, Error{ ErrorKind::Timeout, "http", "b:2", "" });
    BOOST_TEST((unknown.daemons == std::vector<std::string>{ "gone:1", "b:2" }));
    BOOST_TEST((unknown.code == ExitCode::Unknown));
}

BOOST_AUTO_TEST_CASE(listsOfAllDaemonsAreMerged)
{
    const ProgramRun run(
        { "workers", "--daemon", "a:1", "--daemon", "gone:1", "--daemon", "b:2" },
        makeResponse(200, R"({"workers":[{"worker":"w","held":{"cpuMillis":5}}]})"));
    BOOST_TEST((run.code == ExitCode::Unreachable));
    BOOST_TEST(run.daemons.size() == 3U);
    BOOST_TEST(run.out.str()
               == "daemon  held             worker  \n"
                  "a:1     {\"cpuMillis\":5}  w       \n"
                  "b:2     {\"cpuMillis\":5}  w       \n");
}

BOOST_AUTO_TEST_CASE(requestOptionsBecomeHeaders)
{
    const ProgramRun run({ "request", "fleetdesk", "book", "--method", "POST", "--data", "a,b",
                           "--key", "k1", "--caller", "c", "--idempotent=false", "--deadline-ms",
                           "900", "--priority", "urgent", "--daemon", "a:1" },
                         makeResponse(200, "whole answer", "whole"));
    BOOST_TEST(run.last.path == "/services/fleetdesk/book");
    BOOST_TEST(run.last.method == "POST");
    BOOST_TEST(run.last.body == "a,b");
    const std::map<std::string, std::string> expected{ { "Idempotency-Key", "k1" },
                                                       { "X-Caller", "c" },
                                                       { "X-Deadline-Ms", "900" },
                                                       { "X-Idempotent", "false" },
                                                       { "X-Priority", "urgent" } };
    BOOST_TEST((run.last.headers == expected));
    BOOST_TEST(run.out.str() == "whole answer");
}

// Entries from the logs of two daemons are merged into one report. A job that no log mentions
// yields an error code.
BOOST_AUTO_TEST_CASE(explainMergesLogsOfSeveralDaemons)
{
    const auto folder = std::filesystem::temp_directory_path()
        / ("cowsliprock-explain-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    std::ofstream(folder / "a.log")
        << R"({"t":9,"time":100,"process":"a","event":"job.accepted","job":"x1","ms":7})" << '\n';
    std::ofstream(folder / "b.log")
        << R"({"t":1,"time":350,"process":"b","event":"step.started","step":"x1.0.0","tasks":2})"
        << '\n'
        << R"({"t":0,"time":300,"process":"b","event":"job.known","job":"x1"})" << '\n';
    const auto a = (folder / "a.log").string();
    const auto b = (folder / "b.log").string();
    const ProgramRun text({ "explain", "x1", a, b }, ProgramRun::unreachable());
    BOOST_TEST((text.code == ExitCode::Ok));
    BOOST_TEST(text.daemons.empty());
    BOOST_TEST(text.out.str().find("accepted by a after 7 ms") != std::string::npos);
    BOOST_TEST(text.out.str().find("started 50 ms after its owner b") != std::string::npos);
    const ProgramRun json({ "explain", "x1", a, b, "--output", "json" }, ProgramRun::unreachable());
    BOOST_TEST(json.out.str().find("\"findings\"") != std::string::npos);
    BOOST_TEST(
        (ProgramRun({ "explain", "x2", a }, ProgramRun::unreachable()).code == ExitCode::Refused));
    BOOST_TEST((ProgramRun({ "explain", "x1", "/no/such" }, ProgramRun::unreachable()).code
                == ExitCode::Usage));
    std::filesystem::remove_all(folder);
}

BOOST_AUTO_TEST_CASE(everyCommandHasHelpWithAnExample)
{
    for (const std::vector<std::string> &command :
         std::vector<std::vector<std::string>>{ { "submit" },
                                                { "status" },
                                                { "cancel" },
                                                { "wait" },
                                                { "request" },
                                                { "configuration", "get" },
                                                { "configuration", "validate" },
                                                { "configuration", "diff" },
                                                { "configuration", "apply" },
                                                { "workers" },
                                                { "endpoints" },
                                                { "daemons" },
                                                { "late" },
                                                { "report", "burn" },
                                                { "explain" } }) {
        auto arguments = command;
        arguments.emplace_back("--help");
        const ProgramRun run(arguments, makeResponse(200, "{}"));
        BOOST_TEST((run.code == ExitCode::Ok));
        BOOST_TEST(
            (run.out.str().find("Example:\n  cowsliprock " + command[0]) != std::string::npos));
    }
}

// Guards against a report that omits a daemon that does not respond.
BOOST_AUTO_TEST_CASE(burnReportShowsUnreachableDaemonAsGap)
{
    const std::string part =
        R"({"daemon":"noord-1","incarnation":1,"ageMinutes":9000,"services":{}})";
    const ProgramRun run({ "report", "burn", "--daemon", "here:1", "--daemon", "gone:1" },
                         HttpResponse{ 200, {}, part });
    BOOST_TEST((run.code == ExitCode::Unreachable));
    BOOST_TEST(run.out.str().find("gap: gone:1 covers 0 of the last 5 minutes")
               != std::string::npos);
    BOOST_TEST(run.out.str().find("noord-1") == std::string::npos);
}
