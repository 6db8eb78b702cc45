#pragma once

#include <base/error.h>

#include <chrono>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>

namespace cowsliprock::standin {

/// Injected faults, set by tests. Thread-safe.
class FaultPlan
{
public:
    /// Applies the members of a JSON object. Faults that are not given keep their values.
    [[nodiscard]] Result<void> apply(const std::string &text);

    [[nodiscard]] bool outageFor(const std::string &client) const;
    [[nodiscard]] bool vmListOutage() const;
    [[nodiscard]] std::chrono::milliseconds delay() const;

    /// Returns whether to drop the reply to the current write, and decrements the remaining count.
    [[nodiscard]] bool consumeLostReply();

    [[nodiscard]] std::string toJson() const;

private:
    mutable std::mutex m_mutex;
    bool m_outage = false;
    std::set<std::string> m_outageFor;
    bool m_vmListOutage = false;
    std::chrono::milliseconds m_delay{ 0 };
    std::uint32_t m_repliesToDrop = 0;
};

} // namespace cowsliprock::standin
