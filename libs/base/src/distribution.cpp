#include <base/distribution.h>

#include <boost/histogram.hpp>

#include <cmath>
#include <numeric>
#include <stdexcept>

namespace cowsliprock {

namespace {

namespace histogram = boost::histogram;

constexpr double lowestValue = 1e-4;
constexpr double highestValue = 1e3;
constexpr int innerBins = 28; // Four bins per decade.

auto makeHistogram()
{
    using LogAxis = histogram::axis::regular<double, histogram::axis::transform::log>;
    using Storage = histogram::dense_storage<std::uint64_t>;
    return histogram::make_histogram_with(Storage(), LogAxis(innerBins, lowestValue, highestValue));
}

} // namespace

struct Distribution::State
{
    decltype(makeHistogram()) histogram = makeHistogram();
};

Distribution::Distribution()
    : m_state(std::make_unique<State>())
{ }
Distribution::Distribution(const Distribution &other)
    : m_state(std::make_unique<State>(*other.m_state))
{ }
Distribution::Distribution(Distribution &&) noexcept = default;
Distribution &Distribution::operator=(const Distribution &other)
{
    if (this != &other)
        m_state = std::make_unique<State>(*other.m_state);
    return *this;
}
Distribution &Distribution::operator=(Distribution &&) noexcept = default;
Distribution::~Distribution() = default;

void Distribution::add(double value)
{
    m_state->histogram(value);
}

void Distribution::add(Duration value)
{
    add(std::chrono::duration<double>(value).count());
}

void Distribution::merge(const Distribution &other)
{
    m_state->histogram += other.m_state->histogram;
}

std::vector<std::uint64_t> Distribution::bins() const
{
    std::vector<std::uint64_t> result;
    result.reserve(binCount());
    for (int index = -1; index <= innerBins; ++index)
        result.push_back(m_state->histogram.at(index));
    return result;
}

Distribution Distribution::fromBins(const std::vector<std::uint64_t> &bins)
{
    if (bins.size() != binCount())
        throw std::invalid_argument("expected " + std::to_string(binCount())
                                    + " distribution bins");
    Distribution result;
    for (std::size_t index = 0; index < bins.size(); ++index)
        result.m_state->histogram.at(static_cast<int>(index) - 1) = bins[index];
    return result;
}

std::size_t Distribution::binCount() noexcept
{
    return innerBins + 2;
}

double Distribution::upperEdge(std::size_t bin) noexcept
{
    const double decades = std::log10(highestValue / lowestValue);
    return lowestValue
        * std::pow(10.0, decades * static_cast<double>(bin) / static_cast<double>(innerBins));
}

std::uint64_t Distribution::samples() const
{
    const auto counts = bins();
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t(0));
}

Duration Distribution::quantile(double probability) const
{
    const auto counts = bins();
    const auto rank =
        static_cast<std::uint64_t>(std::ceil(probability * static_cast<double>(samples())));
    std::uint64_t cumulative = 0;
    std::size_t index = 0;
    for (; index + 1 < counts.size(); ++index) {
        cumulative += counts[index];
        if (cumulative >= rank && cumulative > 0)
            break;
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(upperEdge(index)));
}

} // namespace cowsliprock
