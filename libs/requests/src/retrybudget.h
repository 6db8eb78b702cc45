#pragma once

#include <algorithm>
#include <cstdint>

namespace cowsliprock::requests {

/// Token bucket of one service: each first attempt adds a fraction of a token, each retry consumes
/// one.
class RetryBudget
{
public:
    void addFirstAttempt(std::uint32_t percent) noexcept
    {
        m_hundredths = std::min(m_hundredths + percent, capacity);
    }

    [[nodiscard]] bool tryConsumeRetry() noexcept
    {
        if (m_hundredths < token)
            return false;
        m_hundredths -= token;
        return true;
    }

    /// Retries allowed before first attempts have added tokens.
    static constexpr std::uint32_t initialTokens = 3;

private:
    static constexpr std::uint32_t token = 100;
    /// Bounds a burst of retries after a period without retries.
    static constexpr std::uint32_t capacity = 20 * token;

    std::uint32_t m_hundredths = initialTokens * token;
};

} // namespace cowsliprock::requests
