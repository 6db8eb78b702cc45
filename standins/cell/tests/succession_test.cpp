#include <succession.h>

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>
#include <vector>

using namespace cowsliprock;
using namespace cowsliprock::cell;

namespace {

using Members = std::map<std::string, MemberRecord>;

MemberRecord member(const std::string &name, const std::string &dataCentre, double weight = 1)
{
    return { name, 1, name + ":1", dataCentre, weight };
}

Members membersOf(const std::vector<MemberRecord> &records)
{
    Members members;
    for (const auto &record : records)
        members.emplace(record.name, record);
    return members;
}

std::vector<std::string> namesOf(const std::vector<Successor> &successors)
{
    std::vector<std::string> names;
    names.reserve(successors.size());
    for (const auto &successor : successors)
        names.push_back(successor.name);
    return names;
}

const MemberRecord owner = member("a1", "a");

} // namespace

/// Which daemons an owner names as its successors.
BOOST_AUTO_TEST_SUITE(succession)

BOOST_AUTO_TEST_CASE(dataCentreThatIsCutOffDoesNotHoldOwnerAndSuccessors)
{
    const auto members = membersOf({ owner, member("a2", "a", 9), member("a3", "a", 9),
                                     member("b1", "b"), member("b2", "b"), member("c1", "c") });
    const auto names = namesOf(selectSuccessors(members, owner, {}));
    BOOST_TEST(names.size() == 2U);
    BOOST_TEST((names[0] == "c1" || names[1] == "c1"));
    BOOST_TEST((names[0].starts_with("b") || names[1].starts_with("b")));
}

BOOST_AUTO_TEST_CASE(aliveSuccessorsAreKeptAndLostOnesAreReplaced)
{
    auto members = membersOf({ owner, member("b1", "b"), member("b2", "b", 2), member("c1", "c") });
    const std::vector<Successor> current{ { "b1", "b1:1" }, { "c1", "c1:1" } };
    BOOST_TEST((selectSuccessors(members, owner, current) == current));
    members.erase("c1");
    const auto names = namesOf(selectSuccessors(members, owner, current));
    BOOST_TEST(names == (std::vector<std::string>{ "b1", "b2" }), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(successorThatReturnsAtAnotherAddressIsReplaced)
{
    auto members = membersOf({ owner, member("b1", "b") });
    const std::vector<Successor> current{ { "b1", "elsewhere:1" } };
    const std::vector<Successor> expected{ { "b1", "b1:1" } };
    BOOST_TEST((selectSuccessors(members, owner, current) == expected));
}

BOOST_AUTO_TEST_CASE(onlyDaemonHasNoSuccessor)
{
    BOOST_TEST(selectSuccessors(membersOf({ owner }), owner, {}).empty());
}

BOOST_AUTO_TEST_SUITE_END()
