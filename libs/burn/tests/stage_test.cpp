#include <burn/report.h>
#include <kernel/kernel.h>

#include <boost/test/unit_test.hpp>

using namespace cowsliprock;
using namespace std::chrono_literals;

namespace {

BurnPart queryPart(Kernel &kernel, TimePoint now)
{
    const auto effects = kernel.handle(event::OperatorCall{ OperationId("o"), "burn", "{}" }, now);
    BOOST_REQUIRE(effects.size() == 1U);
    return decodePart(std::get<effect::AnswerOperator>(effects.front()).body).value();
}

Kernel makeKernel()
{
    return Kernel(KernelSettings{}, { "burn" });
}

} // namespace

// Guards against events being counted beyond the end of a window or dropped from it too early.
BOOST_AUTO_TEST_CASE(eventsLeaveTheirWindows)
{
    Kernel kernel = makeKernel();
    const TimePoint start(100h);
    event::WorkFinished missed;
    missed.service = "fleetdesk";
    missed.caller = "desk";
    missed.deadlineMet = false;
    static_cast<void>(kernel.handle(missed, start));

    const auto deadline = static_cast<std::size_t>(Objective::Deadline);
    const auto early = queryPart(kernel, start + 4min).services.at("fleetdesk").counts;
    BOOST_TEST(early[0][deadline].bad == 1U);
    const auto later = queryPart(kernel, start + 30min).services.at("fleetdesk").counts;
    BOOST_TEST(later[0][deadline].bad == 0U);
    BOOST_TEST(later[1][deadline].bad == 1U);
    const auto latest = queryPart(kernel, start + 100h).services.at("fleetdesk").counts;
    BOOST_TEST(latest[3][deadline].total == 0U);
}

// Guards against late work being removed from the list before it ends.
BOOST_AUTO_TEST_CASE(lateWorkIsListedUntilItEnds)
{
    Kernel kernel = makeKernel();
    const TimePoint start(1h);
    const event::LateItem item{ "noord-17", "sweep", "fleet", start };
    static_cast<void>(kernel.handle(event::LateWorkChanged{ "scheduling", { item } }, start));
    const event::OperatorCall call{ OperationId("o"), "late", "{}" };
    auto effects = kernel.handle(call, start + 2s);
    const auto listed = std::get<effect::AnswerOperator>(effects.front()).body;
    BOOST_TEST(listed.find("\"lateMs\":2000") != std::string::npos);
    static_cast<void>(kernel.handle(event::LateWorkChanged{ "scheduling", {} }, start + 3s));
    effects = kernel.handle(call, start + 4s);
    BOOST_TEST(std::get<effect::AnswerOperator>(effects.front()).body == "{\"late\":[]}");
}
