#include <kernel/kernel.h>

#include <boost/test/unit_test.hpp>

using namespace cowsliprock;

namespace {

/// Raises a drain on the first tick and counts the drains that it sees.
class EchoStage : public Stage
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
    return std::make_unique<EchoStage>();
});
const StageRegistrar secondRegistrar(1, "second", [](const KernelSettings &) {
    return std::make_unique<EchoStage>();
});

} // namespace

// Guards against a raised event that some stages do not see.
BOOST_AUTO_TEST_CASE(raisedEventsReachEveryStage)
{
    Kernel kernel(KernelSettings{}, { "first", "second" });
    const auto effects = kernel.handle(event::Tick{}, TimePoint{});
    // Two stages raise one drain each, and both see both.
    BOOST_TEST(effects.size() == 4U);
}

BOOST_AUTO_TEST_CASE(stagesAreOrderedByRank)
{
    const auto &entries = StageRegistry::instance().entries();
    BOOST_REQUIRE(entries.size() == 2U);
    BOOST_TEST(entries.front().name == "second");
}
