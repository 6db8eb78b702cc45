#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace cowsliprock {

/// Counters and histograms of one process. All members are thread-safe.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Adds to a counter. What is no letter or digit in \p name becomes an underscore in the text
    /// format.
    void count(const std::string &name, std::uint64_t amount = 1);

    /// Sets a gauge.
    void set(const std::string &name, double value);

    /// Adds a value to a histogram with logarithmic bins from 100 microseconds to 1000 seconds.
    void observe(const std::string &name, double value);

    [[nodiscard]] std::uint64_t counter(const std::string &name) const;

    /// Prometheus text format, version 0.0.4.
    [[nodiscard]] std::string text() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace cowsliprock
