#pragma once

#include "applyflow.h"

#include <configuration/document.h>

namespace cowsliprock {

/// Checks the body of configurationValidate: a document.
[[nodiscard]] std::vector<DocumentError> checkDocumentBody(const std::string &body,
                                                           const ConfigurationContext &context);

/// Reads and checks the body of configurationApply: {"baseVersion": n, "document": {...}}.
/// Paths of errors in the document are relative to the document.
[[nodiscard]] std::vector<DocumentError>
readApplyBody(const std::string &body, const ConfigurationContext &context, ApplyRequest &request);

/// {"errors": [{"path", "message"}]}
[[nodiscard]] std::string encodeErrors(const std::vector<DocumentError> &errors);

} // namespace cowsliprock
