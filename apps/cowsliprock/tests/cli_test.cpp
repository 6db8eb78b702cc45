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

/// Runs the program with a transport that gives the same answer to every call.
struct Run
{
    Run(const std::vector<std::string> &arguments, const Result<HttpAnswer> &answer)
    {
        const Program program{ [&](const std::string &daemon, const HttpCall &call) {
                                  daemons.push_back(daemon);
                                  last = call;
                                  return daemon == "gone:1" ? unreachable() : answer;
                              },
                               out, errors };
        code = program.run(arguments);
    }

    [[nodiscard]] static Result<HttpAnswer> unreachable()
    {
        return Error{ ErrorKind::Unavailable, "http", "gone:1", "connection refused" };
    }

    std::ostringstream out;
    std::ostringstream errors;
    std::vector<std::string> daemons;
    HttpCall last;
    ExitCode code = ExitCode::Ok;
};

[[nodiscard]] HttpAnswer answerOf(int status, const std::string &body,
                                  const std::string &outcome = "")
{
    return { status, { { "x-outcome", outcome } }, body };
}

[[nodiscard]] bool gives(ExitCode code, const std::vector<std::string> &arguments,
                         const Result<HttpAnswer> &answer)
{
    return Run(arguments, answer).code == code;
}

} // namespace

// Guards against scripts that take a refusal or an unknown outcome for success.
BOOST_AUTO_TEST_CASE(exitCodesFollowTheAnswer)
{
    const std::vector<std::string> request{ "request", "fleetdesk", "/x", "--daemon", "a:1" };
    BOOST_TEST(gives(ExitCode::Ok, request, answerOf(500, "fault of the endpoint", "whole")));
    BOOST_TEST(gives(ExitCode::Refused, request, answerOf(503, "{}", "not-run")));
    BOOST_TEST(
        gives(ExitCode::Unknown, request, answerOf(504, R"({"outcome":"unknown"})", "unknown")));
    BOOST_TEST(gives(ExitCode::Unknown, request, Error{ ErrorKind::Timeout, "http", "a:1", "" }));
    BOOST_TEST(gives(ExitCode::Unreachable, request, Run::unreachable()));

    const std::vector<std::string> apply{ "configuration", "apply", example, "--base", "7",
                                          "--daemon",      "a:1" };
    BOOST_TEST(gives(ExitCode::Ok, apply, answerOf(200, R"({"version":8})")));
    BOOST_TEST(gives(ExitCode::Conflict, apply, answerOf(409, R"({"version":9})")));
    BOOST_TEST(gives(ExitCode::Refused, apply, answerOf(422, R"({"errors":[]})")));
    BOOST_TEST(gives(ExitCode::Refused, apply, answerOf(503, R"({"outcome":"not-run"})")));
    BOOST_TEST(gives(ExitCode::Unknown, apply, answerOf(503, R"({"outcome":"unknown"})")));
}

// Guards against a command line fault that is sent to a daemon all the same.
BOOST_AUTO_TEST_CASE(usageFaultsSendNothing)
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
        const Run run(arguments, answerOf(200, "{}"));
        BOOST_TEST((run.code == ExitCode::Usage), run.errors.str());
        BOOST_TEST(run.daemons.empty());
        BOOST_TEST(!run.errors.str().empty());
    }
}

// Guards against a request that is sent to a second daemon although the first may have run it.
BOOST_AUTO_TEST_CASE(nextDaemonIsTriedOnlyIfNothingWasSent)
{
    const std::vector<std::string> arguments{ "submit",   "battery-sweep", "--daemon", "gone:1",
                                              "--daemon", "b:2",           "--daemon", "c:3" };
    const Run accepted(arguments, answerOf(202, R"({"id":"noord-1"})"));
    BOOST_TEST((accepted.daemons == std::vector<std::string>{ "gone:1", "b:2" }));
    BOOST_TEST((accepted.code == ExitCode::Ok));
    const Run unknown(arguments, Error{ ErrorKind::Timeout, "http", "b:2", "" });
    BOOST_TEST((unknown.daemons == std::vector<std::string>{ "gone:1", "b:2" }));
    BOOST_TEST((unknown.code == ExitCode::Unknown));
}

BOOST_AUTO_TEST_CASE(listsOfAllDaemonsAreMerged)
{
    const Run run({ "workers", "--daemon", "a:1", "--daemon", "gone:1", "--daemon", "b:2" },
                  answerOf(200, R"({"workers":[{"worker":"w","held":{"cpuMillis":5}}]})"));
    BOOST_TEST((run.code == ExitCode::Unreachable));
    BOOST_TEST(run.daemons.size() == 3U);
    BOOST_TEST(run.out.str()
               == "daemon  held             worker  \n"
                  "a:1     {\"cpuMillis\":5}  w       \n"
                  "b:2     {\"cpuMillis\":5}  w       \n");
}

BOOST_AUTO_TEST_CASE(requestOptionsBecomeHeaders)
{
    const Run run({ "request", "fleetdesk", "book", "--method", "POST", "--data", "a,b", "--key",
                    "k1", "--caller", "c", "--idempotent=false", "--deadline-ms", "900",
                    "--priority", "urgent", "--daemon", "a:1" },
                  answerOf(200, "whole answer", "whole"));
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

// The lines of two daemons make one account; a job that no log names is no success.
BOOST_AUTO_TEST_CASE(explainGathersTheLogsOfSeveralDaemons)
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
    const Run text({ "explain", "x1", a, b }, Run::unreachable());
    BOOST_TEST((text.code == ExitCode::Ok));
    BOOST_TEST(text.daemons.empty());
    BOOST_TEST(text.out.str().find("accepted by a after 7 ms") != std::string::npos);
    BOOST_TEST(text.out.str().find("started 50 ms after its owner b") != std::string::npos);
    const Run json({ "explain", "x1", a, b, "--output", "json" }, Run::unreachable());
    BOOST_TEST(json.out.str().find("\"findings\"") != std::string::npos);
    BOOST_TEST((Run({ "explain", "x2", a }, Run::unreachable()).code == ExitCode::Refused));
    BOOST_TEST((Run({ "explain", "x1", "/no/such" }, Run::unreachable()).code == ExitCode::Usage));
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
        const Run run(arguments, answerOf(200, "{}"));
        BOOST_TEST((run.code == ExitCode::Ok));
        BOOST_TEST(
            (run.out.str().find("Example:\n  cowsliprock " + command[0]) != std::string::npos));
    }
}

// Guards against a report that hides a daemon which does not answer.
BOOST_AUTO_TEST_CASE(burnReportShowsUnreachableDaemonAsGap)
{
    const std::string part =
        R"({"daemon":"noord-1","incarnation":1,"ageMinutes":9000,"services":{}})";
    const Run run({ "report", "burn", "--daemon", "here:1", "--daemon", "gone:1" },
                  HttpAnswer{ 200, {}, part });
    BOOST_TEST((run.code == ExitCode::Unreachable));
    BOOST_TEST(run.out.str().find("gap: gone:1 covers 0 of the last 5 minutes")
               != std::string::npos);
    BOOST_TEST(run.out.str().find("noord-1") == std::string::npos);
}
