#pragma once

#include <base/error.h>
#include <kernel/configurationmodel.h>
#include <schema/documentcheck.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cowsliprock {

/// Size and nesting limits of a configuration document. The store accepts values of up to 1 MB; the
/// remainder is reserved for the version, the digest and the write history.
inline constexpr DocumentLimits configurationLimits{ 990'000, 16 };

/// Names that a configuration may reference but does not define itself.
struct ConfigurationContext
{
    std::vector<std::string> regions; ///< If empty, region names are not checked.
    std::vector<std::string> placementPolicies{ "latency", "packing", "first-fit", "random" };
};

/// Validates and parses a configuration document written by an operator. Returns all errors
/// together rather than only the first one.
[[nodiscard]] std::variant<Configuration, std::vector<DocumentError>>
parseConfiguration(std::string_view text, const ConfigurationContext &context);

/// Parses a single job in the format of a configuration document and converts it to the submission
/// format (JSON with the members of JobDefinition).
[[nodiscard]] std::variant<std::string, std::vector<DocumentError>>
parseSubmittedJob(std::string_view text);

} // namespace cowsliprock
