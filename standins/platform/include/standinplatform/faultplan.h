#pragma once

#include <base/error.h>

#include <chrono>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>

namespace cowsliprock::standin {

/// Faults that tests switch on and off. Thread-safe.
class FaultPlan
{
public:
    /// Applies the members of a JSON object; members that are missing keep their value.
    [[nodiscard]] Result<void> apply(const std::string &text);

    [[nodiscard]] bool outageFor(const std::string &client) const;
    [[nodiscard]] bool vmListOutage() const;
    [[nodiscard]] std::chrono::milliseconds delay() const;

    /// True if the reply of the present write is to be lost; counts it.
    [[nodiscard]] bool takeLostReply();

    [[nodiscard]] std::string toJson() const;

private:
    mutable std::mutex m_mutex;
    bool m_outage = false;
    std::set<std::string> m_outageFor;
    bool m_vmListOutage = false;
    std::chrono::milliseconds m_delay{ 0 };
    std::uint32_t m_loseReplies = 0;
};

} // namespace cowsliprock::standin
