#include <standincell/decisionload.h>

#include <cstdio>
#include <cstdlib>

// Prints the job outcomes by kind under a heavy load, for the placement policy of the daemons and
// for simpler policies, summed over several seeds. Usage: cell-decisions [SEEDS]

namespace {

using namespace cowsliprock;
using namespace cowsliprock::standincell;

constexpr std::uint32_t defaultSeeds = 5;

void printOutcomes(const char *name, const cell::PlacementPolicy &policy, std::uint32_t seeds)
{
    std::map<std::string, JobKindOutcome> sums;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        for (const auto &[kind, outcome] : simulateHeavyLoad(policy, seed)) {
            auto &sum = sums[kind];
            sum.submitted += outcome.submitted;
            sum.inTime += outcome.inTime;
            sum.late += outcome.late;
            sum.refusedImmediately += outcome.refusedImmediately;
            sum.refusedLate += outcome.refusedLate;
            sum.notCompleted += outcome.notCompleted;
        }
    }
    for (const auto &[kind, sum] : sums)
        std::printf("%-24s %-8s %6u %7.3f %7.3f %8.3f %8.3f %7.3f\n", name, kind.c_str(),
                    sum.submitted, sum.inTimeShare(), double(sum.late) / sum.submitted,
                    double(sum.refusedImmediately) / sum.submitted,
                    double(sum.refusedLate) / sum.submitted,
                    double(sum.notCompleted) / sum.submitted);
}

} // namespace

int main(int argc, char **argv)
{
    const auto seeds = argc > 1 ? static_cast<std::uint32_t>(std::atoi(argv[1])) : defaultSeeds;
    std::printf("%-24s %-8s %6s %7s %7s %8s %8s %7s\n", "policy", "kind", "jobs", "in time", "late",
                "refused", "ref.late", "never");
    printOutcomes("urgency, best fit", {}, seeds);
    printOutcomes("urgency, first fit", { cell::UrgencyOrder{}, cell::FirstFit{} }, seeds);
    printOutcomes("arrival, best fit", { cell::ArrivalOrder{}, cell::BestFit{} }, seeds);
    printOutcomes("arrival, first fit", { cell::ArrivalOrder{}, cell::FirstFit{} }, seeds);
    return 0;
}
