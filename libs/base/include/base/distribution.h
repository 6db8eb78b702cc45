#pragma once

#include <base/time.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace cowsliprock {

/// Histogram of durations or ratios with logarithmic bins from 0.0001 to 1000. Durations are
/// recorded in seconds. Merging is exact: it gives the bins that recording all samples in one
/// distribution would have given.
class Distribution
{
public:
    Distribution();
    Distribution(const Distribution &other);
    Distribution(Distribution &&) noexcept;
    Distribution &operator=(const Distribution &other);
    Distribution &operator=(Distribution &&) noexcept;
    ~Distribution();

    void add(double value);
    void add(Duration value);
    void merge(const Distribution &other);

    /// Number of samples per bin, from the underflow bin to the overflow bin.
    [[nodiscard]] std::vector<std::uint64_t> bins() const;

    /// Inverse of bins(). Throws std::invalid_argument unless \p bins has binCount() elements.
    [[nodiscard]] static Distribution fromBins(const std::vector<std::uint64_t> &bins);

    /// Number of bins including the underflow and the overflow bin.
    [[nodiscard]] static std::size_t binCount() noexcept;

    /// Upper edge of element \p bin of bins(). The overflow bin has none; for it, returns the edge
    /// that one more regular bin would have.
    [[nodiscard]] static double upperEdge(std::size_t bin) noexcept;

    /// Number of recorded samples.
    [[nodiscard]] std::uint64_t samples() const;

    /// Upper edge of the bin that contains the quantile for \p probability (0 to 1). The relative
    /// error is below one bin width (78%).
    [[nodiscard]] Duration quantile(double probability) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace cowsliprock
