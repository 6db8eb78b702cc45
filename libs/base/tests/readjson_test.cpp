#include <base/readjson.h>

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <string>
#include <vector>

using namespace cowsliprock;

namespace {

std::string cborOf(const Json &json)
{
    const auto bytes = Json::to_cbor(json);
    return { bytes.begin(), bytes.end() };
}

Json nestedArrays(std::size_t levels)
{
    Json json = 0;
    for (std::size_t level = 0; level < levels; ++level)
        json = Json::array({ std::move(json) });
    return json;
}

} // namespace

BOOST_AUTO_TEST_SUITE(readjson)

BOOST_AUTO_TEST_CASE(limitsTheDepthOfDocuments)
{
    const auto deepest = nestedArrays(maxJsonDepth);
    const auto tooDeep = nestedArrays(maxJsonDepth + 1);
    BOOST_TEST((parseJson(deepest.dump()) == deepest));
    BOOST_TEST((parseCbor(cborOf(deepest)) == deepest));
    BOOST_TEST(parseJson(tooDeep.dump()).is_discarded());
    BOOST_TEST(parseCbor(cborOf(tooDeep)).is_discarded());
}

// Guards against CBOR whose nesting is not that of arrays and maps: chunks of strings are parsed
// recursively as well.
BOOST_AUTO_TEST_CASE(rejectsEveryNestingOfCbor)
{
    constexpr std::size_t levels = 100'000;
    const std::string one("\0", 1);
    for (const char initial : { '\x81', '\x9f', '\xa1', '\xbf', '\x5f', '\x7f', '\xc6', '\xd8' })
        BOOST_TEST(parseCbor(std::string(levels, initial) + one).is_discarded());
}

BOOST_AUTO_TEST_CASE(parsesEachTypeOfCbor)
{
    const Json json{ { "text", std::string(300, 'x') },
                     { "bytes", Json::binary({ 1, 2, 255 }) },
                     { "numbers", { 0, 23, 24, -1, -500, 70'000, 5'000'000'000, 1.5 } },
                     { "others", { true, false, nullptr } },
                     { "empty", { Json::array(), Json::object(), "" } } };
    BOOST_TEST((parseCbor(cborOf(json)) == json));
}

// Guards against a check and a parser that disagree on where a document ends.
BOOST_AUTO_TEST_CASE(rejectsIncompleteCbor)
{
    const auto bytes = cborOf({ { "key", { 1, 2, "text", 70'000 } } });
    for (std::size_t size = 0; size < bytes.size(); ++size)
        BOOST_TEST(parseCbor(bytes.substr(0, size)).is_discarded());
    BOOST_TEST(parseCbor(bytes + "x").is_discarded());
}

BOOST_AUTO_TEST_SUITE_END()
