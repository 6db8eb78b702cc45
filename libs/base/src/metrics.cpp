#include <base/metrics.h>

#include <base/distribution.h>

#include <algorithm>
#include <cctype>
#include <map>
#include <mutex>
#include <sstream>

namespace cowsliprock {

namespace {

/// What the text format needs beside the bins.
struct Series
{
    Distribution distribution;
    double sum = 0;
};

std::string metricName(const std::string &name)
{
    std::string result = "cowsliprock_" + name;
    // The text format admits no other characters in a name.
    std::replace_if(
        result.begin(), result.end(),
        [](unsigned char character) { return std::isalnum(character) == 0; }, '_');
    return result;
}

void writeSeries(std::ostream &out, const std::string &name, const Series &series)
{
    out << "# TYPE " << name << " histogram\n";
    const auto bins = series.distribution.bins();
    std::uint64_t below = 0;
    for (std::size_t bin = 0; bin < bins.size(); ++bin) {
        below += bins[bin];
        // The first bin holds what is below the first edge and has no line of its own.
        if (bin > 0 && bin + 1 < bins.size())
            out << name << "_bucket{le=\"" << Distribution::upperEdge(bin) << "\"} " << below
                << '\n';
    }
    out << name << "_bucket{le=\"+Inf\"} " << below << '\n';
    out << name << "_sum " << series.sum << '\n';
    out << name << "_count " << below << '\n';
}

} // namespace

struct Metrics::State
{
    mutable std::mutex mutex;
    std::map<std::string, std::uint64_t> counters;
    std::map<std::string, double> gauges;
    std::map<std::string, Series> series;
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
    auto &series = m_state->series[name];
    series.distribution.add(value);
    series.sum += value;
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
    for (const auto &[name, series] : m_state->series)
        writeSeries(out, metricName(name), series);
    return out.str();
}

} // namespace cowsliprock
