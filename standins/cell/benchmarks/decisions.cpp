#include <standincell/decisionload.h>
#include <standincell/world.h>

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string>

// Prints the job outcomes by kind under a heavy load, for the placement policy of the daemons and
// for simpler policies, summed over several seeds. Then prints the CPU time that a long backlog
// costs without customers and with jobs of several customers. Usage: cell-decisions [SEEDS]

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

constexpr std::uint32_t backlog = 4000;
constexpr std::uint32_t backlogCustomers = 20;
constexpr std::chrono::seconds backlogTime{ 4 };

/// Simulates a full cell with a long backlog; its jobs belong to \p customers customers, each of
/// which may use \p quota; zero components are unlimited.
void printBacklogCost(std::uint32_t customers, const Resources &quota)
{
    World::Settings settings;
    settings.nodes = 1;
    const auto nameOf = [](std::uint32_t index) { return "customer-" + std::to_string(index); };
    for (std::uint32_t index = 0; index < customers; ++index)
        settings.customers.push_back({ { nameOf(index), 1.0, quota }, { nameOf(index) } });
    World world(settings);
    world.run(std::chrono::seconds(3));
    World::JobPlan plan;
    plan.work = std::chrono::milliseconds(500);
    cell::StepSpec step;
    step.amount = { 4000, 4096, 0 };
    step.estimate = plan.work;
    plan.spec.steps.push_back(step);
    for (std::uint32_t job = 0; job < backlog; ++job) {
        plan.customer = customers == 0 ? std::string() : nameOf(job % customers);
        world.submit(0, "job-" + std::to_string(job), plan);
    }
    world.run(std::chrono::seconds(1));
    const auto before = std::clock();
    world.run(backlogTime);
    const auto seconds = static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
    std::printf("backlog of %u jobs, %2u customers, quota %lld: %.3f s CPU for %lld s\n", backlog,
                customers, static_cast<long long>(quota.cpuMillis), seconds,
                static_cast<long long>(backlogTime.count()));
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
    printBacklogCost(0, {});
    printBacklogCost(backlogCustomers, {});
    printBacklogCost(backlogCustomers, { 4000, 0, 0 });
    return 0;
}
