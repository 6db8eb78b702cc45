#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace cowsliprock {

/// Counters, gauges and histograms of a process, for export to Prometheus. All members are
/// thread-safe.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Increments a counter. Characters of \p name other than letters and digits are replaced by
    /// underscores in the text format.
    void count(const std::string &name, std::uint64_t amount = 1);

    /// Sets a gauge.
    void set(const std::string &name, double value);

    /// Adds a value to a histogram with logarithmic bins from 100 microseconds to 1000 seconds.
    void observe(const std::string &name, double value);

    /// Value of a counter; 0 if it has never been incremented.
    [[nodiscard]] std::uint64_t counter(const std::string &name) const;

    /// All metrics in the Prometheus text format, version 0.0.4.
    [[nodiscard]] std::string text() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace cowsliprock
