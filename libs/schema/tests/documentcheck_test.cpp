#include <schema/documentcheck.h>

#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>

using namespace cowsliprock;
using nlohmann::json;

namespace {

constexpr const char *schema = R"({
  "type": "object", "additionalProperties": false, "required": ["items"],
  "definitions": { "item": { "type": "object", "additionalProperties": false, "required": ["kind"],
    "properties": { "kind": { "enum": ["a", "b"] },
                    "size": { "type": "integer", "minimum": 1, "maximum": 9 } } } },
  "properties": { "items": { "type": "array", "items": { "$ref": "#/definitions/item" } } } })";

} // namespace

// Guards against reporting only the first error, and against errors without a path.
BOOST_AUTO_TEST_CASE(allErrorsAreReportedWithPathAndValidValues)
{
    const auto document =
        json::parse(R"({"items":[{"kind":"c","size":0},{"size":1.5,"x/y":1,"z":2}],"more":1})");
    const std::vector<DocumentError> expected{
        { "/items/0/kind", R"(must be one of "a", "b"; is "c")" },
        { "/items/0/size", "must be integer from 1 to 9; is 0" },
        { "/items/1/kind", R"(missing; must be one of "a", "b")" },
        { "/items/1/size", "must be integer from 1 to 9; is 1.5" },
        { "/items/1/x~1y", "unknown member; valid members are: kind, size" },
        { "/items/1/z", "unknown member; valid members are: kind, size" },
        { "/more", "unknown member; valid members are: items" },
    };
    const auto errors = checkSchema(document, schema);
    BOOST_TEST(joinErrors(errors) == joinErrors(expected));
    BOOST_TEST(checkSchema(json::parse(R"({"items":[{"kind":"a"}]})"), schema).empty());
}

// Guards against recursion depth controlled by the sender of a document, and against duplicate
// members, of which the parser would silently keep the last.
BOOST_AUTO_TEST_CASE(limitsAreEnforcedWhileParsing)
{
    json target;
    const std::string deep(100'000, '[');
    BOOST_TEST(parseDocument(deep, {}, target).size() == 1U);
    BOOST_TEST(parseDocument("[[[1]]]", { 100, 2 }, target).size() == 1U);
    BOOST_TEST(parseDocument("[[1]]", { 100, 2 }, target).empty());
    BOOST_TEST(parseDocument("[1,2]", { 4, 2 }, target).size() == 1U);
    BOOST_TEST(parseDocument(R"({"a":1,"b":{"a":1}})", {}, target).empty());
    BOOST_TEST(parseDocument(R"({"a":1,"a":2})", {}, target).size() == 1U);
    BOOST_TEST(parseDocument("\"\xff\"", {}, target).size() == 1U);
}
