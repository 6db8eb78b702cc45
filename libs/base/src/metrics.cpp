#include <base/metrics.h>

#include <base/distribution.h>

#include <algorithm>
#include <cctype>
#include <map>
#include <mutex>
#include <sstream>

namespace cowsliprock {

namespace {

/// The bins and the sum of the samples, which the text format requires.
struct Histogram
{
    Distribution distribution;
    double sum = 0;
};

std::string metricName(const std::string &name)
{
    std::string result = "cowsliprock_" + name;
    // Prometheus does not allow other characters in the names of metrics, apart from colons, which
    // are reserved for recording rules.
    std::replace_if(
        result.begin(), result.end(),
        [](unsigned char character) { return std::isalnum(character) == 0; }, '_');
    return result;
}

void writeHistogram(std::ostream &out, const std::string &name, const Histogram &histogram)
{
    out << "# TYPE " << name << " histogram\n";
    const auto bins = histogram.distribution.bins();
    std::uint64_t cumulativeCount = 0;
    for (std::size_t bin = 0; bin < bins.size(); ++bin) {
        cumulativeCount += bins[bin];
        // The underflow bin has no line of its own: the cumulative counts include it. The overflow
        // bin is covered by +Inf.
        if (bin > 0 && bin + 1 < bins.size())
            out << name << "_bucket{le=\"" << Distribution::upperEdge(bin) << "\"} "
                << cumulativeCount << '\n';
    }
    out << name << "_bucket{le=\"+Inf\"} " << cumulativeCount << '\n';
    out << name << "_sum " << histogram.sum << '\n';
    out << name << "_count " << cumulativeCount << '\n';
}

} // namespace

struct Metrics::State
{
    mutable std::mutex mutex;
    std::map<std::string, std::uint64_t> counters;
    std::map<std::string, double> gauges;
    std::map<std::string, Histogram> histograms;
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
    auto &histogram = m_state->histograms[name];
    histogram.distribution.add(value);
    histogram.sum += value;
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
    for (const auto &[name, histogram] : m_state->histograms)
        writeHistogram(out, metricName(name), histogram);
    return out.str();
}

} // namespace cowsliprock
