#include <burn/report.h>

#include <boost/test/unit_test.hpp>

#include <random>

using namespace cowsliprock;
using namespace std::chrono_literals;

namespace {

BurnPart samplePart(const std::string &daemon, std::chrono::minutes age)
{
    BurnPart part;
    part.daemon = daemon;
    part.age = age;
    auto &service = part.services["fleetdesk"];
    service.targets = { 0.99, 0.999, 0.999 };
    service.counts[0][0] = { 100, 2 };
    service.waiting.add(20ms);
    service.lateByCaller["desk"] = 1;
    return part;
}

} // namespace

// Guards against merged distributions that differ from one distribution of all samples.
BOOST_AUTO_TEST_CASE(mergedDistributionEqualsExactAnswer)
{
    std::mt19937_64 random(7);
    std::lognormal_distribution<double> seconds(-3.0, 2.0);
    Distribution exact;
    std::array<Distribution, 9> parts;
    for (int index = 0; index < 10'000; ++index) {
        const auto value =
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds(random)));
        exact.add(value);
        parts[static_cast<std::size_t>(index) % parts.size()].add(value);
    }
    Distribution merged;
    for (const auto &part : parts)
        merged.merge(Distribution::fromBins(part.bins()));
    BOOST_TEST(merged.bins() == exact.bins(), boost::test_tools::per_element());
    BOOST_TEST((merged.quantile(0.99) == exact.quantile(0.99)));
}

// Guards against missing data of a failed or restarted daemon being mistaken for met objectives.
BOOST_AUTO_TEST_CASE(missingPartsAreGaps)
{
    const auto report = mergeParts({ samplePart("noord-1", 5000min), samplePart("noord-2", 30min) },
                                   { "noord-1", "noord-2", "zuid-1" });
    BOOST_TEST(report.services.at("fleetdesk").counts[0][0].total == 200U);
    BOOST_TEST(report.services.at("fleetdesk").lateByCaller.at("desk") == 2U);
    // noord-2 does not cover the windows of 60, 360 and 4320 minutes, zuid-1 none at all.
    BOOST_TEST(report.gaps.size() == 7U);
}

BOOST_AUTO_TEST_CASE(burnRateIsShareOfBudget)
{
    BOOST_TEST(burnRate({ 1000, 10 }, 0.99) == 1.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(budgetLeft({ 1000, 20 }, 0.99) == -1.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(burnRate({ 0, 0 }, 0.99) == 0.0);
}

BOOST_AUTO_TEST_CASE(partSurvivesEncoding)
{
    const auto decoded = decodePart(encodePart(samplePart("noord-1", 9min)));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((decoded.value().services.at("fleetdesk").counts[0][0] == ObjectiveCount{ 100, 2 }));
    BOOST_TEST(!decodePart("{\"daemon\":\"x\"}").has_value());
}
