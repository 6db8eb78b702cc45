#include <scheduling/capacityindex.h>

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <string>
#include <utility>
#include <vector>

// Compares the placement policies at about 70% utilization of the fleet: decisions per second,
// candidates examined, 99th percentile of the decision time, and the number of workers required for
// the same load.

namespace {

using namespace cowsliprock;

WorkerName workerName(std::int64_t number)
{
    return WorkerName("worker-" + std::to_string(number));
}

/// Returns the capacity of a worker; every fourth worker has accelerators.
Resources capacityOf(std::int64_t number)
{
    return number % 4 == 0 ? Resources{ 32'000, 131'072, 4 } : Resources{ 16'000, 65'536, 0 };
}

/// Returns a task from a mix of small, memory-intensive, large and accelerated tasks.
Resources randomTask(std::mt19937_64 &random)
{
    switch (random() % 8) {
    case 0:
        return { 8'000, 16'384, 0 };
    case 1:
        return { 4'000, 8'192, 1 };
    case 2:
    case 3:
        return { 1'000, 12'288, 0 };
    default:
        return { 1'000 + static_cast<std::int64_t>(random() % 3'000), 4'096, 0 };
    }
}

class Fleet
{
public:
    explicit Fleet(std::int64_t workers)
    {
        for (std::int64_t number = 0; number < workers; ++number) {
            const Resources capacity = capacityOf(number);
            m_capacity += capacity;
            m_index.update({ workerName(number), capacity, capacity, 0 });
        }
    }

    [[nodiscard]] const CapacityIndex &index() const noexcept { return m_index; }

    /// Returns the share of processors in use.
    [[nodiscard]] double utilization() const
    {
        return 1.0
            - static_cast<double>(m_index.totalFree().cpuMillis)
            / static_cast<double>(m_capacity.cpuMillis);
    }
    void adjustAllocated(const WorkerName &worker, const Resources &amount)
    {
        Candidate candidate = *m_index.find(worker);
        candidate.free -= amount;
        m_index.update(candidate);
    }
    [[nodiscard]] std::int64_t workersUsed() const
    {
        std::int64_t count = 0;
        m_index.scan([&](const Candidate &candidate) {
            count += candidate.free == candidate.capacity ? 0 : 1;
            return true;
        });
        return count;
    }

private:
    CapacityIndex m_index;
    Resources m_capacity;
};

/// Returns the number of workers in use after filling an empty fleet to 40% CPU utilization.
std::int64_t workersForLoad(const PlacementPolicy &policy, std::int64_t workers)
{
    Fleet fleet(workers);
    std::mt19937_64 random(7);
    std::mt19937_64 tasks(11);
    std::uint64_t examined = 0;
    while (fleet.utilization() < 0.4) {
        const Resources amount = randomTask(tasks);
        if (const auto worker = policy.choose({ amount, {} }, fleet.index(), random, examined))
            fleet.adjustAllocated(*worker, amount);
    }
    return fleet.workersUsed();
}

void place(benchmark::State &state, const std::string &name)
{
    const PlacementPolicy &policy = *PolicyRegistry::instance().find(name);
    Fleet fleet(state.range(0));
    std::mt19937_64 random(7);
    std::mt19937_64 tasks(11);
    std::deque<std::pair<WorkerName, Resources>> running;
    std::uint64_t examined = 0;
    std::uint64_t refused = 0;
    std::vector<double> times;
    for (auto step : state) {
        (void)step;
        const Resources amount = randomTask(tasks);
        const auto begin = std::chrono::steady_clock::now();
        const auto worker = policy.choose({ amount, {} }, fleet.index(), random, examined);
        if (worker) {
            fleet.adjustAllocated(*worker, amount);
            running.emplace_back(*worker, amount);
        } else {
            ++refused;
        }
        times.push_back(
            std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin)
                .count());
        while (fleet.utilization() > 0.7) {
            fleet.adjustAllocated(running.front().first, Resources{} - running.front().second);
            running.pop_front();
        }
    }
    const auto decisions = static_cast<double>(times.size());
    const auto rank = times.begin() + static_cast<std::ptrdiff_t>(times.size() * 99 / 100);
    std::nth_element(times.begin(), rank, times.end());
    state.counters["decisionsPerSecond"] =
        benchmark::Counter(decisions, benchmark::Counter::kIsRate);
    state.counters["p99Us"] = *rank;
    state.counters["candidates"] = static_cast<double>(examined) / decisions;
    state.counters["refusedShare"] = static_cast<double>(refused) / decisions;
    state.counters["workersFor40%"] = static_cast<double>(workersForLoad(policy, state.range(0)));
}

} // namespace

// With a fixed number of iterations, all policies place the same sequence of tasks.
BENCHMARK_CAPTURE(place, packing, "packing")->Arg(50)->Arg(500)->Arg(2800)->Iterations(100000);
BENCHMARK_CAPTURE(place, latency, "latency")->Arg(50)->Arg(500)->Arg(2800)->Iterations(100000);
BENCHMARK_CAPTURE(place, firstFit, "first-fit")->Arg(50)->Arg(500)->Arg(2800)->Iterations(100000);
BENCHMARK_CAPTURE(place, random, "random")->Arg(50)->Arg(500)->Arg(2800)->Iterations(100000);

BENCHMARK_MAIN();
