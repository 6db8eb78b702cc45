#pragma once

#include <base/time.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace cowsliprock {

/// Distribution of times or shares with logarithmic bins from 0.0001 to 1000; times are in seconds.
/// Merging is exact: the bins of a merged distribution equal those of all samples together.
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

    /// Counts by bin, below the first bin first, above the last bin last.
    [[nodiscard]] std::vector<std::uint64_t> bins() const;
    [[nodiscard]] static Distribution fromBins(const std::vector<std::uint64_t> &bins);
    [[nodiscard]] static std::size_t binCount() noexcept;

    /// Upper edge of a bin of bins(); the last one gets the edge that a further bin would have.
    [[nodiscard]] static double upperEdge(std::size_t bin) noexcept;

    [[nodiscard]] std::uint64_t samples() const;

    /// Upper edge of the bin that holds the quantile; the error is below one bin (78%).
    [[nodiscard]] Duration quantile(double share) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace cowsliprock
