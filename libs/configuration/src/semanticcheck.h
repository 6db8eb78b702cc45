#pragma once

#include <configuration/document.h>

namespace cowsliprock {

/// Checks constraints that the schema cannot express: references, unique names and relations
/// between values.
[[nodiscard]] std::vector<DocumentError> checkSemantics(const Configuration &configuration,
                                                        const ConfigurationContext &context);

/// Checks the fields of one job that do not depend on the rest of the configuration.
[[nodiscard]] std::vector<DocumentError> checkJobFields(const JobDefinition &job,
                                                        const std::string &path);

} // namespace cowsliprock
