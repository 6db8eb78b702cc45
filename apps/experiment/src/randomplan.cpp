#include <experiment/plan.h>

#include <algorithm>
#include <random>

namespace cowsliprock::experiment {

namespace {

using std::chrono::milliseconds;

/// Last kind of the faults that are short and may overlap; partitions follow.
constexpr std::uint32_t lastShortFaultKind = static_cast<std::uint32_t>(FaultKind::LinkCutOneWay);

class RandomValues
{
public:
    explicit RandomValues(std::uint32_t seed)
        : m_random(seed)
    { }

    std::uint32_t integer(std::uint32_t low, std::uint32_t high)
    {
        return std::uniform_int_distribution<std::uint32_t>(low, high)(m_random);
    }

    Duration duration(std::uint32_t low, std::uint32_t high)
    {
        return milliseconds(integer(low, high));
    }

    Fault fault(Duration at)
    {
        Fault result;
        result.kind = static_cast<FaultKind>(integer(0, lastShortFaultKind));
        result.at = at;
        result.duration = duration(300, 4000);
        result.target = integer(0, 1000);
        return result;
    }

    /// A partition that is longer than the leases of store and workers and ends long before the
    /// settling time does.
    Fault partition()
    {
        Fault result;
        result.kind =
            integer(0, 1) == 0 ? FaultKind::OwnerPartitioned : FaultKind::GroupPartitioned;
        result.at = duration(1000, 10'000);
        result.duration = duration(4000, 16'000);
        result.target = integer(0, 1000);
        return result;
    }

private:
    std::mt19937 m_random;
};

JobKind batchJobs(RandomValues &random)
{
    JobKind kind;
    kind.name = "batch";
    kind.perSecond = random.integer(1, 4);
    kind.priority = 1;
    kind.steps = random.integer(1, 2);
    kind.tasks = random.integer(1, 5);
    kind.amount = { 3000, 4096, 0 };
    kind.work = random.duration(200, 1500);
    kind.gangShare = 0.3;
    kind.failingShare = 0.05;
    kind.cancelShare = 0.1;
    kind.repeatShare = 0.1;
    kind.adviceTime = milliseconds(random.integer(0, 1) * 20);
    return kind;
}

JobKind urgentJobs(RandomValues &random)
{
    JobKind kind;
    kind.name = "urgent";
    kind.perSecond = random.integer(1, 5);
    kind.tasks = 2;
    kind.work = random.duration(100, 400);
    kind.repeatShare = 0.1;
    return kind;
}

} // namespace

Plan randomPlan(std::uint32_t seed, std::uint32_t scale)
{
    RandomValues random(seed);
    Plan plan;
    plan.seed = seed;
    plan.daemons = random.integer(3, 5) * scale;
    plan.workers = random.integer(6, 14) * scale;
    plan.length = random.duration(15'000, 25'000);
    plan.kinds = { batchJobs(random), urgentJobs(random) };
    for (auto &kind : plan.kinds)
        kind.perSecond *= scale;
    // The mean interval between faults is shorter than their mean duration, so that they overlap.
    for (Duration at = random.duration(500, 2000); at < plan.length;
         at += random.duration(100, 1800))
        plan.faults.push_back(random.fault(at));
    plan.faults.push_back(random.partition());
    return plan;
}

} // namespace cowsliprock::experiment
