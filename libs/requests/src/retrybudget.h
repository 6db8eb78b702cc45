#pragma once

#include <algorithm>
#include <cstdint>

namespace cowsliprock::requests {

/// Token bucket of one service: each first attempt adds a share of a token, each retry takes one.
class RetryBudget
{
public:
    void addFirstAttempt(std::uint32_t percent) noexcept
    {
        m_hundredths = std::min(m_hundredths + percent, capacity);
    }

    [[nodiscard]] bool takeRetry() noexcept
    {
        if (m_hundredths < token)
            return false;
        m_hundredths -= token;
        return true;
    }

    /// Retries that a service may make before its first attempts have earned any.
    static constexpr std::uint32_t startTokens = 3;

private:
    static constexpr std::uint32_t token = 100;
    /// Limits a burst of retries after a quiet period.
    static constexpr std::uint32_t capacity = 20 * token;

    std::uint32_t m_hundredths = startTokens * token;
};

} // namespace cowsliprock::requests
