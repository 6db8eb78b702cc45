#include "cell.h"

#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>

using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// Reads a number from the environment. COWSLIPROCK_SEEDS sets the number of seeds,
/// COWSLIPROCK_FIRST_SEED the first one.
[[nodiscard]] std::uint64_t environmentNumber(const char *name, std::uint64_t defaultValue)
{
    const char *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : defaultValue;
}

void exploreSeed(std::uint64_t seed, std::size_t &accepted, std::size_t &conflicts)
{
    Cell cell(
        seed,
        { seed % 3 == 0 ? 0.0 : 0.1, seed % 2 == 0 ? 0.0 : 0.1, seed % 4 != 0, seed % 5 != 0 });
    std::mt19937_64 random(seed + 1);
    for (int round = 0; round < 15; ++round) {
        cell.run(std::chrono::milliseconds(random() % 4000));
        for (auto operators = 1 + random() % 3; operators > 0; --operators)
            cell.change(random() % Cell::daemonCount);
    }
    cell.heal();
    cell.run(12s);
    cell.checkConverged();
    accepted += cell.acceptedAnswers();
    conflicts += cell.conflictAnswers();
}

/// Generates a document of about 900 KB.
[[nodiscard]] json largeDocument()
{
    json document = { { "teams", json::array() },
                      { "policies", { { { "name", "pack" }, { "placement", "packing" } } } },
                      { "jobs", json::array() } };
    for (int team = 0; team < 410; ++team)
        document["teams"].push_back(
            { { "name", "team-" + std::to_string(team) },
              { "quota", { { "cpuMillis", 64'000 }, { "memoryMb", 262'144 } } } });
    for (int job = 0; document["jobs"].size() < 5350; ++job)
        document["jobs"].push_back(
            { { "name", "battery-sweep-" + std::to_string(job) },
              { "team", "team-" + std::to_string(job % 410) },
              { "policy", "pack" },
              { "kind", "batch" },
              { "exclusive", true },
              { "deadlineMs", 3'600'000 },
              { "perTask", { { "cpuMillis", 2000 }, { "memoryMb", 4096 } } } });
    return document;
}

} // namespace

// Verifies guarantee G8: no daemon reverts to an older version, an accepted version is in force on
// all connected daemons within 6 s, exactly one of two concurrent changes succeeds, and a change
// that was answered as not applied never comes into force. Covers lost replies, late writes,
// outages, stale reads, region partitions, lost messages and restarts.
BOOST_AUTO_TEST_CASE(seededExploration)
{
    std::size_t accepted = 0;
    std::size_t conflicts = 0;
    const std::uint64_t first = environmentNumber("COWSLIPROCK_FIRST_SEED", 1);
    const std::uint64_t count = environmentNumber("COWSLIPROCK_SEEDS", 200);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        try {
            exploreSeed(seed, accepted, conflicts);
        } catch (const std::exception &exception) {
            BOOST_ERROR("seed " << seed << ": " << exception.what());
        }
    }
    BOOST_TEST_MESSAGE(accepted << " changes accepted, " << conflicts << " conflicts");
    // Ensures that the exploration actually accepts changes and provokes conflicts.
    BOOST_TEST(accepted > 5 * count);
    BOOST_TEST(conflicts > count);
}

// Guards against both or neither of two concurrent changes being accepted.
BOOST_AUTO_TEST_CASE(oneOfTwoRacingOperatorsWins)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        Cell cell(seed, {});
        cell.run(3s);
        std::vector<std::string> operations;
        for (const std::size_t daemon : { 1U, 8U }) {
            const json document = {
                { "teams",
                  { { { "name", "t-" + std::to_string(daemon) },
                      { "quota", { { "cpuMillis", 1 }, { "memoryMb", 1 } } } } } }
            };
            operations.push_back(
                cell.call(daemon, "configurationApply",
                          json{ { "baseVersion", 0 }, { "document", document } }.dump()));
        }
        cell.run(2s);
        std::vector<int> statuses;
        for (const auto &operation : operations) {
            BOOST_REQUIRE(cell.answer(operation));
            statuses.push_back(cell.answer(operation)->status);
        }
        std::sort(statuses.begin(), statuses.end());
        BOOST_TEST((statuses == std::vector{ 200, 409 }), "seed " << seed);
        cell.checkConverged();
    }
}

// Guards against a small change causing a transfer of the whole document to every daemon. The
// daemon called by the operator receives the document and writes it to the store, so it has its own
// limit.
BOOST_AUTO_TEST_CASE(smallChangeOfLargeDocumentIsCheap)
{
    Cell cell(1, {});
    cell.run(3s);
    json document = largeDocument();
    const auto apply = [&](std::uint64_t base) {
        const auto operation =
            cell.call(4, "configurationApply",
                      json{ { "baseVersion", base }, { "document", document } }.dump());
        cell.run(6s);
        BOOST_REQUIRE(cell.answer(operation));
        BOOST_REQUIRE_MESSAGE(cell.answer(operation)->status == 200,
                              cell.answer(operation)->body.substr(0, 500));
    };
    apply(0);
    cell.resetBytes();
    constexpr std::uint64_t changes = 10;
    for (std::uint64_t index = 0; index < changes; ++index) {
        document["jobs"].erase(index);
        document["jobs"][100]["deadlineMs"] = 1000 + index;
        apply(index + 1);
    }
    const std::size_t documentBytes = document.dump().size();
    BOOST_TEST(documentBytes > 850'000U);
    for (std::size_t daemon = 0; daemon < Cell::daemonCount; ++daemon) {
        const auto perChange = cell.bytes(daemon) / changes;
        BOOST_TEST_MESSAGE("daemon " << daemon << ": " << perChange << " bytes per change");
        BOOST_TEST(perChange < (daemon == 4 ? documentBytes + 10'000 : 5000));
        BOOST_TEST(cell.version(daemon) == changes + 1);
    }
}
