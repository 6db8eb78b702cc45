#include <base/metrics.h>

#include <boost/histogram.hpp>

#include <algorithm>
#include <map>
#include <mutex>
#include <sstream>

namespace cowsliprock {

namespace {

namespace histogram = boost::histogram;

constexpr double lowestValue = 1e-4;
constexpr double highestValue = 1e3;
constexpr unsigned binCount = 28; // Four bins for each power of ten.

auto makeHistogram()
{
    using LogAxis = histogram::axis::regular<double, histogram::axis::transform::log>;
    return histogram::make_histogram(LogAxis(binCount, lowestValue, highestValue));
}

using Histogram = decltype(makeHistogram());

struct Distribution
{
    Histogram bins = makeHistogram();
    double sum = 0;
    std::uint64_t samples = 0;
};

std::string metricName(const std::string &name)
{
    std::string result = "cowsliprock_" + name;
    std::replace(result.begin(), result.end(), '.', '_');
    std::replace(result.begin(), result.end(), '-', '_');
    return result;
}

void writeDistribution(std::ostream &out, const std::string &name, const Distribution &distribution)
{
    out << "# TYPE " << name << " histogram\n";
    double below = distribution.bins.at(-1);
    for (const auto &bin : histogram::indexed(distribution.bins)) {
        below += *bin;
        out << name << "_bucket{le=\"" << bin.bin().upper() << "\"} " << below << '\n';
    }
    out << name << "_bucket{le=\"+Inf\"} " << distribution.samples << '\n';
    out << name << "_sum " << distribution.sum << '\n';
    out << name << "_count " << distribution.samples << '\n';
}

} // namespace

struct Metrics::State
{
    mutable std::mutex mutex;
    std::map<std::string, std::uint64_t> counters;
    std::map<std::string, double> gauges;
    std::map<std::string, Distribution> distributions;
};

Metrics::Metrics()
    : m_state(std::make_unique<State>())
{ }

Metrics::~Metrics() = default;

void Metrics::count(const std::string &name, std::uint64_t amount)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->counters[name] += amount;
}

void Metrics::set(const std::string &name, double value)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->gauges[name] = value;
}

void Metrics::observe(const std::string &name, double value)
{
    const std::lock_guard lock(m_state->mutex);
    auto &distribution = m_state->distributions[name];
    distribution.bins(value);
    distribution.sum += value;
    ++distribution.samples;
}

std::uint64_t Metrics::counter(const std::string &name) const
{
    const std::lock_guard lock(m_state->mutex);
    const auto found = m_state->counters.find(name);
    return found == m_state->counters.end() ? 0 : found->second;
}

std::string Metrics::text() const
{
    const std::lock_guard lock(m_state->mutex);
    std::ostringstream out;
    for (const auto &[name, value] : m_state->counters) {
        const std::string full = metricName(name) + "_total";
        out << "# TYPE " << full << " counter\n" << full << ' ' << value << '\n';
    }
    for (const auto &[name, value] : m_state->gauges) {
        const std::string full = metricName(name);
        out << "# TYPE " << full << " gauge\n" << full << ' ' << value << '\n';
    }
    for (const auto &[name, distribution] : m_state->distributions)
        writeDistribution(out, metricName(name), distribution);
    return out.str();
}

} // namespace cowsliprock
