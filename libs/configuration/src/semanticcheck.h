#pragma once

#include <configuration/document.h>

namespace cowsliprock {

/// Checks what a schema cannot: references, unique names and amounts that depend on each other.
[[nodiscard]] std::vector<DocumentError> checkSemantics(const Configuration &configuration,
                                                        const ConfigurationContext &context);

/// Checks of one job that need nothing else of the configuration.
[[nodiscard]] std::vector<DocumentError> checkJobAlone(const JobDefinition &job,
                                                       const std::string &path);

} // namespace cowsliprock
