#pragma once

#include "applyflow.h"

#include <configuration/document.h>

namespace cowsliprock {

/// Validates the body of configurationValidate, which is a configuration document.
[[nodiscard]] std::vector<DocumentError> checkDocumentBody(const std::string &body,
                                                           const ConfigurationContext &context);

/// Parses and validates the body of configurationApply: {"baseVersion": n, "document": {...}}.
/// Error paths within the document are relative to the document.
[[nodiscard]] std::vector<DocumentError>
readApplyBody(const std::string &body, const ConfigurationContext &context, ApplyRequest &request);

/// Encodes errors as {"errors": [{"path", "message"}]}.
[[nodiscard]] std::string encodeErrors(const std::vector<DocumentError> &errors);

} // namespace cowsliprock
