#include "usagecorrection.h"

#include <algorithm>
#include <cmath>

namespace cowsliprock::scheduling {

namespace {

constexpr std::uint32_t minimumSamples = 20;
constexpr double highPercentile = 0.95;

/// Bounds memory use; each name takes about 3 KB.
constexpr std::size_t maximumNames = 2'000;

/// Keeps usage of exactly the declared amount in the bin below it, so that it causes no increase.
constexpr double tolerance = 1e-6;

double ratio(std::int64_t used, std::int64_t declared) noexcept
{
    return declared <= 0 ? 0.0
                         : static_cast<double>(used) / static_cast<double>(declared) - tolerance;
}

std::int64_t scaled(std::int64_t declared, double factor) noexcept
{
    return static_cast<std::int64_t>(
        std::ceil(static_cast<double>(declared) * (factor - tolerance)));
}

} // namespace

void UsageCorrection::add(const std::string &name, const Resources &declared, const Resources &used)
{
    if (name.empty() || (m_ratios.size() >= maximumNames && !m_ratios.contains(name)))
        return;
    Ratios &ratios = m_ratios[name];
    ratios.processors(ratio(used.cpuMillis, declared.cpuMillis));
    ratios.memory(ratio(used.memoryMb, declared.memoryMb));
    ++ratios.samples;
}

Resources UsageCorrection::corrected(const std::string &name, const Resources &declared) const
{
    const auto iterator = m_ratios.find(name);
    if (iterator == m_ratios.end() || iterator->second.samples < minimumSamples)
        return declared;
    const auto &[processors, memory, samples] = iterator->second;
    return { std::max(declared.cpuMillis,
                      scaled(declared.cpuMillis, percentile(processors, samples))),
             std::max(declared.memoryMb, scaled(declared.memoryMb, percentile(memory, samples))),
             declared.accelerators };
}

double UsageCorrection::percentile(const Histogram &histogram, std::uint32_t samples)
{
    double cumulativeCount = 0;
    const auto &axis = histogram.axis();
    for (int bin = 0; bin < axis.size(); ++bin) {
        cumulativeCount += histogram.at(bin);
        if (cumulativeCount >= highPercentile * samples)
            return axis.bin(bin).upper();
    }
    return axis.bin(axis.size() - 1).upper();
}

} // namespace cowsliprock::scheduling
