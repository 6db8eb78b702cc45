#include "workerspeeds.h"

#include <algorithm>
#include <cmath>

namespace cowsliprock::cell {

namespace {

/// Evidence on a worker counts half after this time, since workers can change their speed.
constexpr std::chrono::seconds evidenceHalfLife{ 30 };
/// Maximum weight of the earlier runs in a half of an estimate. It bounds the influence of runs
/// that were compared while the speeds of the other workers were still unknown.
constexpr double maxHalfWeight = 8;
/// A run changes an estimate by at most this much (logarithm), since a few tasks take several times
/// as long as the others of their step.
constexpr double maxDeviation = 1.0;
/// Each run pulls the estimate towards the mean by this factor. Without it, the estimates of groups
/// of workers that never run tasks of the same step would drift apart.
constexpr double pullToMean = 0.92;
/// The estimate of a worker is weighted against this much evidence for the mean speed.
constexpr double priorWeight = 1.5;
/// Maximum number of runs that each run of a step is compared with.
constexpr std::size_t maxReferences = 32;
/// Weight that a single reference costs a run: the reference is as noisy as the run itself.
constexpr double referenceNoise = 1.5;

/// Estimates with less evidence are dropped, so that those of former workers are.
constexpr double minWeight = 0.01;
/// Workers with less evidence in a half are not part of the assessment.
constexpr double minHalfWeight = 2.5;
constexpr std::size_t minAssessedWorkers = 6;
/// Speeds are unlike above this spread and alike again below the other one.
constexpr double unlikeSpread = 0.15;
constexpr double alikeSpread = 0.1;
/// Standard errors by which the spread has to exceed its bound.
constexpr double requiredStandardErrors = 3;

/// Ratio of the speeds of adjacent classes.
constexpr double classRatio = 1.25;

double medianOf(std::vector<double> &values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    if (values.size() % 2 != 0)
        return *middle;
    return (*middle + *std::max_element(values.begin(), middle)) / 2;
}

double logarithmOf(Duration time)
{
    return std::log(std::chrono::duration<double>(time).count());
}

/// Logarithm of the time that a run would have taken on a worker of speed 1.
struct Reference
{
    const std::string *worker = nullptr;
    double logWork = 0;
};

/// Collects the references on other workers.
void collectOthers(const std::vector<Reference> &references, const std::string &worker,
                   std::vector<double> &others)
{
    others.clear();
    for (const auto &reference : references) {
        if (*reference.worker != worker)
            others.push_back(reference.logWork);
    }
}

} // namespace

double WorkerSpeeds::Estimate::weight() const noexcept
{
    return halves[0].weight + halves[1].weight;
}

double WorkerSpeeds::Estimate::logSpeed() const noexcept
{
    const double sum = weight();
    return sum <= 0
        ? 0
        : (halves[0].logSpeed * halves[0].weight + halves[1].logSpeed * halves[1].weight) / sum;
}

void WorkerSpeeds::Estimate::decay(TimePoint now) noexcept
{
    const std::chrono::duration<double> passed = now - decayedAt;
    decayedAt = now;
    const double factor = std::exp2(-passed / std::chrono::duration<double>(evidenceHalfLife));
    for (auto &half : halves)
        half.weight *= factor;
}

void WorkerSpeeds::Estimate::add(double sample, double weight) noexcept
{
    auto &half = halves[nextHalf];
    nextHalf = 1 - nextHalf;
    const double deviation = std::clamp(sample - half.logSpeed, -maxDeviation, maxDeviation);
    half.logSpeed += deviation * weight / (std::min(half.weight, maxHalfWeight) + weight);
    half.weight += weight;
}

double WorkerSpeeds::logSpeedOf(const std::string &worker) const
{
    const auto found = m_estimates.find(worker);
    return found == m_estimates.end() ? 0 : found->second.logSpeed();
}

void WorkerSpeeds::compare(const std::vector<RunTime> &runs, TimePoint now)
{
    const std::size_t stride = runs.size() / maxReferences + 1;
    std::vector<Reference> references;
    for (std::size_t index = 0; index < runs.size(); index += stride) {
        const auto &run = runs[index];
        references.push_back(
            { run.worker, logarithmOf(run.elapsed) + logSpeedOf(*run.worker) / pullToMean });
    }
    std::vector<double> others;
    for (const auto &run : runs) {
        if (!run.isEvidence)
            continue;
        collectOthers(references, *run.worker, others);
        if (others.empty())
            continue;
        const auto count = static_cast<double>(others.size());
        const double weight = count / (count + referenceNoise);
        const double sample = medianOf(others) - logarithmOf(run.elapsed);
        auto [estimate, added] = m_estimates.try_emplace(*run.worker);
        if (added)
            estimate->second.decayedAt = now;
        estimate->second.decay(now);
        estimate->second.add(pullToMean * sample, weight);
    }
}

void WorkerSpeeds::assess(TimePoint now)
{
    for (auto &[worker, estimate] : m_estimates)
        estimate.decay(now);
    std::erase_if(m_estimates, [](const auto &entry) { return entry.second.weight() < minWeight; });
    centre();
    updateSpread();
}

void WorkerSpeeds::centre()
{
    double weights = 0;
    double speeds = 0;
    for (const auto &[worker, estimate] : m_estimates) {
        weights += estimate.weight();
        speeds += estimate.weight() * std::exp(estimate.logSpeed() / pullToMean);
    }
    if (weights <= 0)
        return;
    const double offset = std::log(speeds / weights) * pullToMean;
    for (auto &[worker, estimate] : m_estimates) {
        for (auto &half : estimate.halves)
            half.logSpeed -= offset;
    }
}

void WorkerSpeeds::updateSpread()
{
    std::vector<std::array<double, 2>> pairs;
    std::array<double, 2> means{};
    for (const auto &[worker, estimate] : m_estimates) {
        const auto &[first, second] = estimate.halves;
        if (std::min(first.weight, second.weight) < minHalfWeight)
            continue;
        pairs.push_back({ first.logSpeed, second.logSpeed });
        means[0] += first.logSpeed;
        means[1] += second.logSpeed;
    }
    if (pairs.size() < minAssessedWorkers) {
        m_spread = 0;
        m_heterogeneous = false;
        return;
    }
    const auto count = static_cast<double>(pairs.size());
    double sum = 0;
    double squares = 0;
    for (const auto &[first, second] : pairs) {
        const double product = (first - means[0] / count) * (second - means[1] / count);
        sum += product;
        squares += product * product;
    }
    const double covariance = sum / count;
    const double variance = std::max(0.0, squares / count - covariance * covariance);
    const double standardError = std::sqrt(variance / count);
    m_spread = std::sqrt(std::max(0.0, covariance)) / pullToMean;
    if (covariance - requiredStandardErrors * standardError > unlikeSpread * unlikeSpread)
        m_heterogeneous = true;
    else if (m_spread < alikeSpread)
        m_heterogeneous = false;
}

double WorkerSpeeds::speed(const std::string &worker) const
{
    const auto found = m_estimates.find(worker);
    if (found == m_estimates.end())
        return 1;
    const auto &estimate = found->second;
    const double trust = estimate.weight() / (estimate.weight() + priorWeight);
    return std::exp(estimate.logSpeed() / pullToMean * trust);
}

double WorkerSpeeds::evidence(const std::string &worker) const
{
    const auto found = m_estimates.find(worker);
    return found == m_estimates.end() ? 0 : found->second.weight();
}

int speedClass(double speed) noexcept
{
    const auto classOf = static_cast<int>(std::lround(std::log(speed) / std::log(classRatio)));
    return std::clamp(classOf, -maxSpeedClass, maxSpeedClass);
}

} // namespace cowsliprock::cell
