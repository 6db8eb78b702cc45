#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace cowsliprock {

/// An amount of resources: the capacity of a worker or what is requested or used of it.
struct Resources
{
    std::int64_t cpuMillis = 0; ///< Thousandths of a CPU core.
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    bool operator==(const Resources &) const = default;

    /// Returns whether no component exceeds that of \p capacity.
    [[nodiscard]] constexpr bool fitsIn(const Resources &capacity) const noexcept
    {
        return cpuMillis <= capacity.cpuMillis && memoryMb <= capacity.memoryMb
            && accelerators <= capacity.accelerators;
    }

    constexpr Resources &operator+=(const Resources &other) noexcept
    {
        cpuMillis += other.cpuMillis;
        memoryMb += other.memoryMb;
        accelerators += other.accelerators;
        return *this;
    }

    constexpr Resources &operator-=(const Resources &other) noexcept
    {
        cpuMillis -= other.cpuMillis;
        memoryMb -= other.memoryMb;
        accelerators -= other.accelerators;
        return *this;
    }
};

[[nodiscard]] constexpr Resources operator+(Resources left, const Resources &right) noexcept
{
    return left += right;
}

[[nodiscard]] constexpr Resources operator-(Resources left, const Resources &right) noexcept
{
    return left -= right;
}

[[nodiscard]] constexpr Resources operator*(Resources amount, std::int64_t count) noexcept
{
    return { amount.cpuMillis * count, amount.memoryMb * count, amount.accelerators * count };
}

/// The lesser of each component.
[[nodiscard]] constexpr Resources leastOf(const Resources &left, const Resources &right) noexcept
{
    return { std::min(left.cpuMillis, right.cpuMillis), std::min(left.memoryMb, right.memoryMb),
             std::min(left.accelerators, right.accelerators) };
}

} // namespace cowsliprock
