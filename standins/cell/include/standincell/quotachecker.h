#pragma once

#include <standincell/documents.h>

#include <base/resources.h>
#include <base/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cowsliprock::standincell {

/// Knows the quotas of all configuration versions that may be in force.
class QuotaChecker
{
public:
    /// \p oldestInForce returns the oldest version that any running node applies.
    explicit QuotaChecker(std::function<std::uint64_t()> oldestInForce);

    /// Records a new version of the configuration.
    void configured(std::uint64_t version, const std::vector<CustomerPlan> &customers,
                    TimePoint now);

    /// True if the customer may use \p amount once a start that was ordered at \p ordered is
    /// executed. The largest quota that may be in force counts; without one, anything is allowed.
    [[nodiscard]] bool allows(const std::string &customer, const Resources &amount,
                              TimePoint ordered) const;

private:
    struct Version
    {
        std::uint64_t number = 0;
        std::map<std::string, Resources> quotas;
        std::optional<TimePoint> replacedAt;
    };

    std::function<std::uint64_t()> m_oldestInForce;
    std::vector<Version> m_versions;
};

} // namespace cowsliprock::standincell
