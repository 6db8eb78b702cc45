#pragma once

#include <base/error.h>
#include <kernel/configurationmodel.h>
#include <schema/documentcheck.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cowsliprock {

/// Largest configuration document. The store holds values of up to 1 MB; the rest is for version,
/// digest and write identities.
inline constexpr DocumentLimits configurationLimits{ 990'000, 16 };

/// Names that a configuration may refer to, but does not define.
struct ConfigurationContext
{
    std::vector<std::string> regions; ///< Empty: regions are not checked.
    std::vector<std::string> placementPolicies{ "latency", "packing", "first-fit", "random" };
};

/// Checks and reads a configuration document written by people. All faults are returned at once.
[[nodiscard]] std::variant<Configuration, std::vector<DocumentError>>
parseConfiguration(std::string_view text, const ConfigurationContext &context);

/// Reads one job in the form that it has in a configuration document and returns the form in which
/// jobs are submitted (JSON with the members of JobDefinition).
[[nodiscard]] std::variant<std::string, std::vector<DocumentError>>
parseSubmittedJob(std::string_view text);

} // namespace cowsliprock
