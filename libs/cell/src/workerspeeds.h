#pragma once

#include <base/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace cowsliprock::cell {

/// Time that a run of one task of a step took on its worker.
struct RunTime
{
    const std::string *worker = nullptr;
    Duration elapsed{};
    /// Its time is new evidence on its worker. Other runs only serve as a reference, for example
    /// because their time is projected.
    bool isEvidence = false;
};

/// Estimates the speeds of workers relative to their mean from the times that the tasks of one step
/// took on different workers. The estimates of submitters are not used, since they are often wrong.
class WorkerSpeeds
{
public:
    /// Compares the runs of one step with each other; runs of the same worker are not compared.
    void compare(const std::vector<RunTime> &runs, TimePoint now);

    /// Drops what is known of a worker, which may be another machine now.
    void forget(const std::string &worker) { m_estimates.erase(worker); }

    /// Scales the estimates to a mean of 1 and decides whether unlike speeds are proven.
    void assess(TimePoint now);

    /// Estimated speed of the worker; close to 1 as long as there is little evidence.
    [[nodiscard]] double speed(const std::string &worker) const;
    /// Decayed number of runs that the estimate of the worker is based on.
    [[nodiscard]] double evidence(const std::string &worker) const;

    /// True if the last assessment has shown that the speeds of the workers differ by more than the
    /// sizes of tasks explain.
    [[nodiscard]] bool heterogeneous() const noexcept { return m_heterogeneous; }
    /// Standard deviation of the logarithms of the speeds, without the noise of the estimates.
    [[nodiscard]] double spread() const noexcept { return m_spread; }

private:
    /// Mean of the logarithms of the speeds that half of the runs of a worker have shown.
    struct Half
    {
        double logSpeed = 0;
        double weight = 0; ///< Decayed sum of the weights of the runs.
    };

    /// The runs of a worker go to its halves in turn. The errors of the halves are independent, so
    /// their covariance over all workers is the variance of the true speeds.
    struct Estimate
    {
        std::array<Half, 2> halves;
        std::size_t nextHalf = 0;
        TimePoint decayedAt{};

        [[nodiscard]] double logSpeed() const noexcept;
        [[nodiscard]] double weight() const noexcept;
        void decay(TimePoint now) noexcept;
        void add(double logSpeed, double weight) noexcept;
    };

    [[nodiscard]] double logSpeedOf(const std::string &worker) const;
    /// Scales the estimates so that the mean speed is 1.
    void centre();
    void updateSpread();

    std::unordered_map<std::string, Estimate> m_estimates;
    bool m_heterogeneous = false;
    double m_spread = 0;
};

/// Classes of speeds range from minus this to this.
constexpr int maxSpeedClass = 3;

/// Class of a speed; workers of the same or of adjacent classes are hardly distinguishable.
/// Class 0 contains the mean speed, higher classes are faster.
[[nodiscard]] int speedClass(double speed) noexcept;

} // namespace cowsliprock::cell
