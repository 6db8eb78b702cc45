#include <configuration/consolepage.h>
#include <configuration/document.h>

#include "../src/configurationschema.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <iterator>

using namespace cowsliprock;
using namespace std::chrono_literals;

namespace {

[[nodiscard]] std::string readFile(const std::string &path)
{
    std::ifstream file(std::string(COWSLIPROCK_SOURCE_DIR) + "/" + path);
    return { std::istreambuf_iterator<char>(file), {} };
}

[[nodiscard]] std::string validationErrors(std::string_view text,
                                           const ConfigurationContext &context = {})
{
    const auto result = parseConfiguration(text, context);
    const auto *errors = std::get_if<std::vector<DocumentError>>(&result);
    return errors ? joinErrors(*errors) : std::string();
}

} // namespace

BOOST_AUTO_TEST_CASE(examplesAreValidAndKeepTheirUnits)
{
    BOOST_TEST(validationErrors(readFile("examples/mahov-kamak/configuration.json"),
                                { { "sofia", "plovdiv", "varna" } })
               == "");
    const auto result = parseConfiguration(readFile("examples/duinrand/configuration.json"),
                                           { { "noord", "midden", "zuid" } });
    BOOST_REQUIRE(result.index() == 0);
    const auto &configuration = std::get<Configuration>(result);
    BOOST_TEST((configuration.services.front().defaultDeadline == 1500ms));
    BOOST_TEST((configuration.services.front().priority == Priority::Urgent));
    BOOST_TEST((configuration.jobs[2].kind == JobKind::Gang));
    BOOST_TEST((configuration.jobs[1].deadline == 9h));
    BOOST_TEST(configuration.teams[1].quota.accelerators == 12);
}

// Guards against accepting documents with unresolved references or with amounts that no worker or
// quota can satisfy. All errors must be reported together.
BOOST_AUTO_TEST_CASE(semanticFaultsAreReportedTogether)
{
    const std::string text = validationErrors(R"({
      "services": [ { "name": "s", "team": "t", "policy": "p", "slots": 8, "connections": 4 } ],
      "jobs": [ { "name": "j", "team": "nobody", "policy": "q", "kind": "service", "service": "x",
                  "perTask": { "cpuMillis": 1, "memoryMb": 1 }, "regions": ["mars"] },
                { "name": "j", "team": "t", "policy": "p", "kind": "gang", "taskCount": 3,
                  "perTask": { "cpuMillis": 400, "memoryMb": 1 }, "service": "s",
                  "expectedRunTimeMs": 5, "deadlineMs": 4 } ],
      "policies": [ { "name": "p", "placement": "best" } ],
      "teams": [ { "name": "t", "quota": { "cpuMillis": 1000, "memoryMb": 10 } } ],
      "callers": [ { "name": "c", "homeRegion": "moon" } ] })",
                                              { { "noord", "zuid" } });
    for (const char *part :
         { "/services/0/slots: is 8; must be at most connections, which is 4",
           "/jobs/0/team: no team is named 'nobody'; must be one of t", "/jobs/0/policy: no policy",
           "/jobs/0/service: no service", "/jobs/0/regions/0: no region is named 'mars'",
           "/jobs/1/name: 'j' is also the name of /jobs/0", "/jobs/1/service: only a job of kind",
           "/jobs/1/deadlineMs", "/jobs/1/perTask: the quota of team 't'",
           "/policies/0/placement: no placement policy is named 'best'; must be one of first-fit",
           "/callers/0/homeRegion: no region is named 'moon'; must be one of noord, zuid" })
        BOOST_TEST((text.find(part) != std::string::npos), part << " in " << text);
}

// Guards against amounts that are zero, negative or too large for the fields that store them.
BOOST_AUTO_TEST_CASE(amountsOutsideTheSchemaAreRefused)
{
    const std::string text = validationErrors(R"({ "teams": [ { "name": "T!", "quota":
        { "cpuMillis": 0, "memoryMb": -1, "accelerators": 1e30 } } ], "jobs": [ { "taskCount": 0,
        "deadline": 5, "perTask": {} } ] })");
    for (const char *part :
         { "/teams/0/name: must be string", "/teams/0/quota/cpuMillis: must be integer from 1",
           "/teams/0/quota/memoryMb", "/teams/0/quota/accelerators", "/jobs/0/taskCount",
           "/jobs/0/deadline: unknown member", "/jobs/0/perTask/cpuMillis: missing",
           "/jobs/0/name: missing" })
        BOOST_TEST((text.find(part) != std::string::npos), part << " in " << text);
    BOOST_TEST(validationErrors("[]") != "");
    BOOST_TEST(validationErrors("{}") == "");
}

// Guards against a submitted job whose durations are not converted from the document's
// milliseconds.
BOOST_AUTO_TEST_CASE(submittedJobHasTheMembersOfTheKernel)
{
    const auto result = parseSubmittedJob(R"({ "name": "n", "team": "t", "policy": "p",
        "kind": "gang", "perTask": { "cpuMillis": 1, "memoryMb": 1 }, "deadlineMs": 2 })");
    BOOST_REQUIRE(result.index() == 0);
    const auto &text = std::get<std::string>(result);
    BOOST_TEST((text.find("\"deadline\":2000,") != std::string::npos), text);
    BOOST_TEST((text.find("\"kind\":2,") != std::string::npos), text);
    const auto refused = parseSubmittedJob(R"({ "name": "n" })");
    BOOST_REQUIRE(refused.index() == 1);
    BOOST_TEST(std::get<1>(refused).front().path == "/kind");
}

// Guards against changing the schema or the page without running scripts/embed-documents.
BOOST_AUTO_TEST_CASE(embeddedFilesAreTheCommittedOnes)
{
    BOOST_TEST((readFile("libs/configuration/console/console.html") == consolePage()));
    BOOST_TEST(readFile("schemas/configuration.schema.json") == configurationSchema());
}
