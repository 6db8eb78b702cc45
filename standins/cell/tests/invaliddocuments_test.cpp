#include "testjobs.h"

#include <standincell/documents.h>

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

/// Entries that a worker, or whoever can write to its key, may store.
std::vector<std::string> invalidWorkers()
{
    const auto entry = [](const std::string &address, const std::string &member) {
        return R"({"service":"s","zone":"z","state":"ready","address":")" + address + "\"," + member
            + "}";
    };
    const std::string address = "10.0.0.1:80";
    return {
        "",
        "[]",
        "\xff\xfe",
        entry(address, R"("capacity":{"cpu":-16000,"mem_mb":-65536})"),
        entry(address, R"("capacity":{"cpu":9223372036854775807,"mem_mb":9223372036854775807})"),
        entry(address, R"("capacity":{"cpu":1e300,"mem_mb":65536})"),
        entry("10.0.0.1:99999", R"("capacity":{"cpu":16000,"mem_mb":65536})"),
        entry(address, R"("capacity":{"cpu":16000,"mem_mb":65536},"labels":)" + nested(100'000)),
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(invaliddocuments)

// Guards against one entry that keeps the owner from using the other workers.
BOOST_AUTO_TEST_CASE(usesTheOtherWorkersBesideInvalidEntries)
{
    World world({});
    const auto entries = invalidWorkers();
    for (std::size_t index = 0; index < entries.size(); ++index)
        world.store().put(workerKey("invalid-" + std::to_string(index)), entries[index]);
    world.run(startTime);
    BOOST_REQUIRE(world.owner());
    world.submit(0, jobId(1), batch(24));
    world.run(seconds(4));
    expectCompleted(world, 0, 1);
}

// Guards against an entry that stays in use after it has become invalid.
BOOST_AUTO_TEST_CASE(usesNoWorkerWhoseEntryBecameInvalid)
{
    World::Settings settings;
    settings.workers = 1;
    for (const auto &entry : invalidWorkers()) {
        World world(settings);
        world.run(startTime);
        world.store().put(workerKey("worker-0"), entry);
        world.run(seconds(1));
        world.submit(0, jobId(1), batch(2));
        world.run(seconds(3));
        BOOST_TEST(world.guarantees().starts() == 0U, entry.substr(0, 100));
    }
}

// Guards against an invalid configuration that takes the place of the current one.
BOOST_AUTO_TEST_CASE(keepsTheConfigurationWhenTheNextIsInvalid)
{
    World world({});
    world.run(startTime);
    BOOST_REQUIRE(world.configurationOf(0) == 1U);
    const auto route = [](const std::string &version, const std::string &member) {
        return R"({"version":)" + version
            + R"(,"services":[],"routes":[{"name":"batch","host":"h","prefix":"/q/","service":"s",)"
            + member + "}]}";
    };
    for (const auto &text :
         { std::string(), std::string("[]"), std::string("\xff"), route("-1", R"("priority":1)"),
           route("1e300", R"("priority":1)"), route("9", R"("max_attempts":-1)"),
           route("9", R"("extension":1e300)"), route("9", R"("target_runtime_ms":-1e300)"),
           route("9", R"("more":)" + nested(100'000)) }) {
        world.store().put(configurationKey, text);
        world.run(seconds(1));
        BOOST_TEST(world.configurationOf(0) == 1U, text.substr(0, 100));
    }
    world.submit(0, jobId(1), chain(3));
    world.run(seconds(4));
    expectCompleted(world, 0, 1);
    // The next valid configuration is still applied.
    world.changeConfiguration();
    world.run(seconds(1));
    BOOST_TEST(world.configurationOf(0) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
