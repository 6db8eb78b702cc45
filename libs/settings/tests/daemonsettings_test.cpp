#include <settings/daemonsettings.h>

#include "../src/settingsschema.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>

using namespace cowsliprock;
using namespace std::chrono_literals;

namespace {

const std::string root = COWSLIPROCK_SOURCE_DIR;

constexpr const char *twoDaemons = R"({ "name": "noord-1", "storeAddress": "127.0.0.1:7000",
  "daemons": [ { "name": "noord-1", "region": "noord", "dataCentre": "noord-a",
                 "httpAddress": "127.0.0.1:8001", "peerAddress": "127.0.0.1:9001" },
               { "name": "zuid-1", "region": "zuid", "dataCentre": "zuid-a",
                 "httpAddress": "127.0.0.1:8002", "peerAddress": "127.0.0.1:9002" } ] })";

[[nodiscard]] std::string errorText(const Result<DaemonSettings> &result)
{
    return result.has_error() ? result.error().text() : std::string();
}

} // namespace

BOOST_AUTO_TEST_CASE(overridesApplyToKernelAndRuntimeSettings)
{
    const auto result =
        parseDaemonSettings(twoDaemons,
                            { "name=zuid-1", "daemons.zuid-1.httpAddress=127.0.0.1:8999",
                              "logFormat=json", "pollIntervalMs=1500", "traceFile=/tmp/trace" });
    BOOST_REQUIRE_MESSAGE(result.has_value(), errorText(result));
    const DaemonSettings &settings = result.value();
    BOOST_TEST(settings.kernel.self.name.value() == "zuid-1");
    BOOST_TEST(settings.kernel.location.region == "zuid");
    BOOST_TEST(settings.httpAddress == "127.0.0.1:8999");
    BOOST_TEST((settings.kernel.pollInterval == 1500ms));
    BOOST_TEST((settings.logFormat == LogFormat::Json));
    BOOST_REQUIRE(settings.kernel.peers.size() == 1U);
    BOOST_TEST(settings.kernel.peers.front().peerAddress == "127.0.0.1:9001");
}

// Guards against misspelt settings that silently keep their defaults, and against a report that
// stops at the first error.
BOOST_AUTO_TEST_CASE(allErrorsAreReported)
{
    const auto result =
        parseDaemonSettings(twoDaemons,
                            { "renewInterval=5", "httpThreads=0",
                              "daemons.1.peerAddress=localhost:1", "nosuch.a=1", "noValue" });
    BOOST_REQUIRE(result.has_error());
    const std::string text = result.error().text();
    for (const char *part : { "/renewInterval: unknown", "/httpThreads: must be integer from 1",
                              "/daemons/1/peerAddress: must be", "--set noValue", "/nosuch" })
        BOOST_TEST((text.find(part) != std::string::npos), part << " in " << text);
}

// Guards against inconsistent durations: leases that expire between renewals, and a drain that ends
// before the longest request and cuts it off.
BOOST_AUTO_TEST_CASE(contradictoryDurationsAreRejected)
{
    const auto result = parseDaemonSettings(
        twoDaemons, { "name=absent", "drainLimitMs=25000", "leaseTimeMs=4000" });
    BOOST_REQUIRE(result.has_error());
    const std::string text = result.error().text();
    for (const char *part : { "/name: not in daemons", "/drainLimitMs", "/renewIntervalMs" })
        BOOST_TEST((text.find(part) != std::string::npos), part << " in " << text);
}

// Guards against a command line parser that splits JSON values at commas.
BOOST_AUTO_TEST_CASE(overrideValuesKeepCommas)
{
    const std::vector<const char *> line{ "cowsliprockd",
                                          "--settings",
                                          "a.json",
                                          "--set",
                                          R"(placementPolicies=["packing","random"])",
                                          "--set",
                                          "name=x" };
    const auto result = parseDaemonArguments(static_cast<int>(line.size()), line.data());
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(result.value().overrides.size() == 2U);
    BOOST_TEST(result.value().settingsPath == "a.json");
    BOOST_TEST(parseDaemonArguments(1, line.data()).has_error());
}

BOOST_AUTO_TEST_CASE(embeddedSchemaMatchesSchemaFile)
{
    std::ifstream file(root + "/schemas/settings.schema.json");
    const std::string text{ std::istreambuf_iterator<char>(file), {} };
    BOOST_TEST(text == settingsSchema());
}

BOOST_AUTO_TEST_CASE(exampleSettingsLoadForEveryDaemon)
{
    const std::map<std::string, std::vector<std::string>> customers{
        { "mahov-kamak", { "sofia", "plovdiv", "varna" } },
        { "duinrand", { "noord", "midden", "zuid" } }
    };
    for (const auto &[customer, regions] : customers) {
        const auto path = std::filesystem::path(root) / "examples" / customer / "settings.json";
        for (const auto &region : regions) {
            for (const char *number : { "1", "2", "3" }) {
                const std::string name = region + "-" + number;
                const auto result = loadDaemonSettings(path, { "name=" + name });
                BOOST_REQUIRE_MESSAGE(result.has_value(), errorText(result));
                BOOST_TEST(result.value().kernel.location.region == region);
                BOOST_TEST(result.value().kernel.peers.size() == 8U);
            }
        }
    }
}
