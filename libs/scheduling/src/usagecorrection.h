#pragma once

#include <base/resources.h>

#include <cstdint>
#include <map>
#include <string>

#include <boost/histogram.hpp>

namespace cowsliprock::scheduling {

/// Corrects declared task sizes by the measured usage of tasks with the same job name. Only
/// increases the amount allocated for a task.
class UsageCorrection
{
public:
    void add(const std::string &name, const Resources &declared, const Resources &used);

    /// Returns the 95th percentile of the usage recorded for this name, but at least the declared
    /// amount; the declared amount while there are fewer than 20 samples. Accelerators are not
    /// corrected because a task cannot use more than were assigned to it.
    [[nodiscard]] Resources corrected(const std::string &name, const Resources &declared) const;

private:
    using Axis = boost::histogram::axis::regular<>;
    using Histogram = decltype(boost::histogram::make_histogram(Axis()));

    /// Histograms of the ratio of used to declared amounts, in steps of 5% up to eight times the
    /// declared amount.
    struct Ratios
    {
        Histogram processors = boost::histogram::make_histogram(Axis(160, 0.0, 8.0));
        Histogram memory = boost::histogram::make_histogram(Axis(160, 0.0, 8.0));
        std::uint32_t samples = 0;
    };

    [[nodiscard]] static double percentile(const Histogram &histogram, std::uint32_t samples);

    std::map<std::string, Ratios> m_ratios;
};

} // namespace cowsliprock::scheduling
