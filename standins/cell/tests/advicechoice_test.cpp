#include <advicechoice.h>

#include <boost/test/unit_test.hpp>

#include <deque>

using namespace cowsliprock;
using namespace cowsliprock::cell;

namespace {

/// Adds 16-core workers with a given number of free cores.
struct Fixture
{
    Fixture()
    {
        spec.amount = { 4000, 1024, 0 };
        demand.spec = &spec;
        demand.service = "s";
        demand.reservations = &reservations;
    }

    Worker *add(const std::string &name, std::int64_t freeCores)
    {
        Worker &worker = workers.emplace_back();
        worker.entry.id = name;
        worker.entry.service = "s";
        worker.entry.capacity = { 16000, 65536, 0 };
        worker.held = { 16000 - freeCores * 1000, 0, 0 };
        return &worker;
    }

    void addUnknown(std::uint32_t count, std::int64_t freeCores)
    {
        for (std::uint32_t index = 0; index < count; ++index)
            candidates.unknown.push_back(add("u" + std::to_string(index), freeCores));
    }

    [[nodiscard]] std::vector<std::string> choose(const AdviceDemand &need) const
    {
        return chooseWorkersToQuery(need, demand, candidates);
    }

    StepSpec spec;
    StepDemand demand;
    Reservations reservations;
    std::deque<Worker> workers;
    AdviceCandidates candidates;
};

AdviceDemand gangOf(std::uint32_t tasks)
{
    AdviceDemand need;
    need.gang = true;
    need.tasks = tasks;
    return need;
}

} // namespace

BOOST_AUTO_TEST_SUITE(advicechoice)

BOOST_FIXTURE_TEST_CASE(emptiestWorkersAreAskedAboutFirst, Fixture)
{
    addUnknown(80, 4);
    auto *empty = add("empty", 16);
    candidates.unknown.push_back(empty);
    BOOST_TEST(choose(gangOf(4)).front() == "empty");
}

// Guards against a gang that waits forever because the workers allowed so far cannot hold it.
BOOST_FIXTURE_TEST_CASE(gangAsksForMoreIfAllowedWorkersCannotHoldIt, Fixture)
{
    addUnknown(80, 0);
    candidates.allowed.push_back(add("a", 0));
    const auto need = gangOf(20);
    BOOST_TEST(!choose(need).empty());
}

BOOST_FIXTURE_TEST_CASE(ticketsOfAGangAreRenewedOnceItHasRoom, Fixture)
{
    addUnknown(80, 16);
    for (int index = 0; index < 5; ++index)
        candidates.allowed.push_back(add("a" + std::to_string(index), 16));
    const auto need = gangOf(20);
    const auto asked = choose(need);
    BOOST_TEST(asked.size() == 5U);
    BOOST_TEST(asked.front().starts_with("a"));
}

BOOST_FIXTURE_TEST_CASE(workersKeptForGangsAreAskedAboutLast, Fixture)
{
    addUnknown(10, 12);
    KeptRoom room;
    room.gang = { "gang" };
    room.priority = demand.priority + 1;
    reservations.keep("u0", room);
    AdviceDemand need;
    need.tasks = 2;
    const auto asked = choose(need);
    BOOST_REQUIRE(!asked.empty());
    BOOST_TEST(asked.back() == "u0");
}

// Guards against urgent work that may only use slow workers, since the policy service was not asked
// about the fast ones.
BOOST_FIXTURE_TEST_CASE(workersOfThePreferredSpeedAreAskedAboutFirst, Fixture)
{
    addUnknown(40, 12);
    workers[30].speedClass = 2;
    workers[30].held = { 8000, 0, 0 };
    workers[31].speedClass = -2;
    AdviceDemand need;
    need.tasks = 2;
    BOOST_TEST(choose(need).front() == "u0");
    demand.speed = FastestFirst{};
    BOOST_TEST(choose(need).front() == "u30");
    demand.speed = SlowestFirst{};
    BOOST_TEST(choose(need).front() == "u31");
    // A gang asks about the workers with the most room.
    BOOST_TEST(choose(gangOf(4)).front() == "u0");
}

BOOST_AUTO_TEST_SUITE_END()
