#include <kernel/kernel.h>

#include <boost/test/unit_test.hpp>

using namespace cowsliprock;

namespace {

/// Raises a drain request on each tick and counts the drain requests that it receives.
class DrainRaisingStage : public Stage
{
public:
    void handle(const Event &event, TimePoint, Output &output) override
    {
        if (std::holds_alternative<event::Tick>(event))
            output.raise(event::DrainRequested{});
        if (std::holds_alternative<event::DrainRequested>(event))
            output.count("drains");
    }
    [[nodiscard]] std::string snapshot() const override { return "{}"; }
};

const StageRegistrar firstRegistrar(2, "first", [](const KernelSettings &) {
    return std::make_unique<DrainRaisingStage>();
});
const StageRegistrar secondRegistrar(1, "second", [](const KernelSettings &) {
    return std::make_unique<DrainRaisingStage>();
});

} // namespace

// Guards against raised events that are not delivered to all stages.
BOOST_AUTO_TEST_CASE(raisedEventsReachEveryStage)
{
    Kernel kernel(KernelSettings{}, { "first", "second" });
    const auto effects = kernel.handle(event::Tick{}, TimePoint{});
    // Each of the two stages raises one drain request, and each receives both.
    BOOST_TEST(effects.size() == 4U);
}

BOOST_AUTO_TEST_CASE(stagesAreOrderedByRank)
{
    const auto &entries = StageRegistry::instance().entries();
    BOOST_REQUIRE(entries.size() == 2U);
    BOOST_TEST(entries.front().name == "second");
}
