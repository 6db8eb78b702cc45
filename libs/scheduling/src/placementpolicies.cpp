#include <scheduling/capacityindex.h>
#include <scheduling/placement.h>

#include <algorithm>
#include <array>

namespace cowsliprock {

namespace {

/// Share of a worker's capacity that remains free after placing the request.
struct Remainder
{
    double mean = 0;
    double imbalance = 0; ///< Difference between the largest and the smallest share.
    bool wastesAccelerators = false;
};

Remainder remainderOf(const PlacementRequest &request, const Candidate &candidate) noexcept
{
    const Resources left = candidate.free - request.amount;
    const auto share = [](std::int64_t part, std::int64_t whole) {
        return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
    };
    const double cpu = share(left.cpuMillis, candidate.capacity.cpuMillis);
    const double memory = share(left.memoryMb, candidate.capacity.memoryMb);
    Remainder result;
    if (request.amount.accelerators > 0) {
        const double accelerators = share(left.accelerators, candidate.capacity.accelerators);
        result.mean = (cpu + memory + accelerators) / 3;
        result.imbalance =
            std::max({ cpu, memory, accelerators }) - std::min({ cpu, memory, accelerators });
    } else {
        result.mean = (cpu + memory) / 2;
        result.imbalance = std::max(cpu, memory) - std::min(cpu, memory);
        result.wastesAccelerators = candidate.free.accelerators > 0;
    }
    return result;
}

/// Returns a measure between 0 and 1 of the starts in progress that compete with this one.
double contention(const Candidate &candidate) noexcept
{
    return 1.0 - 1.0 / (1.0 + candidate.starting);
}

/// Selects the candidate with the highest score from a bounded sample.
class ScoringPolicy : public PlacementPolicy
{
public:
    [[nodiscard]] std::optional<WorkerName> choose(const PlacementRequest &request,
                                                   const CapacityIndex &index,
                                                   std::mt19937_64 &random,
                                                   std::uint64_t &examined) const override
    {
        const Candidate *best = nullptr;
        double bestScore = 0;
        for (const Candidate *candidate : index.sample(request.amount, order(), random)) {
            ++examined;
            if (!request.amount.fitsIn(candidate->free))
                continue;
            const double value = score(request, *candidate);
            if (best == nullptr || value > bestScore) {
                best = candidate;
                bestScore = value;
            }
        }
        return best == nullptr ? std::nullopt : std::optional(best->worker);
    }

protected:
    [[nodiscard]] virtual CapacityIndex::Order order() const noexcept = 0;
    [[nodiscard]] virtual double score(const PlacementRequest &request,
                                       const Candidate &candidate) const noexcept = 0;
};

/// Worst fit: prefers the worker with the most free capacity and the fewest starts in progress.
class LatencyPolicy : public ScoringPolicy
{
protected:
    [[nodiscard]] CapacityIndex::Order order() const noexcept override
    {
        return CapacityIndex::Order::FreestFirst;
    }
    [[nodiscard]] double score(const PlacementRequest &request,
                               const Candidate &candidate) const noexcept override
    {
        const Remainder left = remainderOf(request, candidate);
        return request.policy.waitingWeight * (left.mean - 0.5 * contention(candidate))
            - request.policy.packingWeight * (left.wastesAccelerators ? 0.25 : 0.0);
    }
};

/// Best fit over processors, memory and accelerators.
class PackingPolicy : public ScoringPolicy
{
protected:
    [[nodiscard]] CapacityIndex::Order order() const noexcept override
    {
        return CapacityIndex::Order::TightestFirst;
    }
    [[nodiscard]] double score(const PlacementRequest &request,
                               const Candidate &candidate) const noexcept override
    {
        const Remainder left = remainderOf(request, candidate);
        const double fit =
            1.0 - left.mean - 0.5 * left.imbalance - (left.wastesAccelerators ? 0.5 : 0.0);
        return request.policy.packingWeight * fit
            - request.policy.waitingWeight * 0.05 * contention(candidate);
    }
};

/// First fit by worker name. May examine all workers; serves as a reference for other policies.
class FirstFitPolicy : public PlacementPolicy
{
public:
    [[nodiscard]] std::optional<WorkerName> choose(const PlacementRequest &request,
                                                   const CapacityIndex &index, std::mt19937_64 &,
                                                   std::uint64_t &examined) const override
    {
        std::optional<WorkerName> result;
        index.scan([&](const Candidate &candidate) {
            ++examined;
            if (request.amount.fitsIn(candidate.free))
                result = candidate.worker;
            return !result.has_value();
        });
        return result;
    }
};

/// Selects any worker with enough free capacity from a bounded random sample.
class RandomPolicy : public PlacementPolicy
{
public:
    [[nodiscard]] std::optional<WorkerName> choose(const PlacementRequest &request,
                                                   const CapacityIndex &index,
                                                   std::mt19937_64 &random,
                                                   std::uint64_t &examined) const override
    {
        for (std::size_t i = 0; i < 2 * CapacityIndex::sampleSize; ++i) {
            const auto sample = index.randomSample(1, random);
            examined += sample.size();
            if (!sample.empty() && request.amount.fitsIn(sample.front()->free))
                return sample.front()->worker;
        }
        // In a nearly full fleet few workers have free capacity. The index finds them.
        const auto rest = index.sample(request.amount, CapacityIndex::Order::FreestFirst, random);
        examined += rest.size();
        for (const Candidate *candidate : rest) {
            if (request.amount.fitsIn(candidate->free))
                return candidate->worker;
        }
        return std::nullopt;
    }
};

const PolicyRegistrar latencyRegistrar("latency", [] { return std::make_unique<LatencyPolicy>(); });
const PolicyRegistrar packingRegistrar("packing", [] { return std::make_unique<PackingPolicy>(); });
const PolicyRegistrar firstFitRegistrar("first-fit",
                                        [] { return std::make_unique<FirstFitPolicy>(); });
const PolicyRegistrar randomRegistrar("random", [] { return std::make_unique<RandomPolicy>(); });

} // namespace

PolicyRegistry &PolicyRegistry::instance()
{
    static PolicyRegistry registry;
    return registry;
}

void PolicyRegistry::add(std::string name, const PolicyFactory &factory)
{
    m_policies[std::move(name)] = factory();
}

const PlacementPolicy *PolicyRegistry::find(const std::string &name) const
{
    const auto iterator = m_policies.find(name);
    return iterator == m_policies.end() ? nullptr : iterator->second.get();
}

} // namespace cowsliprock
