#include "../src/documentpatch.h"

#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>

#include <random>

using namespace cowsliprock;
using nlohmann::json;

namespace {

[[nodiscard]] json randomDocument(std::mt19937_64 &random)
{
    json document = json::object();
    for (const char *list : { "jobs", "teams" }) {
        if (random() % 4 == 0)
            continue;
        document[list] = json::array();
        for (std::size_t count = random() % 6; count > 0; --count)
            document[list].push_back(
                { { "name", std::to_string(random() % 9) }, { "size", random() % 2 } });
    }
    return document;
}

} // namespace

// Guards against patches that do not produce the target document.
BOOST_AUTO_TEST_CASE(patchLeadsFromOneDocumentToTheOther)
{
    for (std::uint64_t seed = 0; seed < 2000; ++seed) {
        std::mt19937_64 random(seed);
        const json from = randomDocument(random);
        const json to = randomDocument(random);
        BOOST_REQUIRE_MESSAGE(from.patch(makePatch(from, to)) == to, "seed " << seed);
    }
}

// Guards against a patch that grows with the document when an element near the front is removed.
BOOST_AUTO_TEST_CASE(patchOfOneElementIsSmall)
{
    json from;
    for (int index = 0; index < 3000; ++index)
        from["jobs"].push_back({ { "name", "job-" + std::to_string(index) } });
    json to = from;
    to["jobs"].erase(0);
    to["jobs"].erase(1500);
    BOOST_TEST(makePatch(from, to).dump().size() < 200U);
    BOOST_TEST(makePatch(to, from).dump().size() < 200U);
}
