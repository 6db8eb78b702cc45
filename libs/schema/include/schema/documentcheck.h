#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace cowsliprock {

/// One error in a user-supplied document.
struct DocumentError
{
    std::string path;    ///< JSON Pointer (RFC 6901); empty for the whole document.
    std::string message; ///< States the error and what would be valid.

    bool operator==(const DocumentError &) const = default;
};

struct DocumentLimits
{
    std::size_t bytes = 1'000'000;
    int depth = 16; ///< Nesting depth of objects and arrays.
};

/// Parses JSON text into \p target. Duplicate member names and exceeded limits are errors.
/// Returns an empty list on success.
[[nodiscard]] std::vector<DocumentError>
parseDocument(std::string_view text, const DocumentLimits &limits, nlohmann::json &target);

/// Validates a document against a JSON Schema (draft 7). Returns all errors, ordered by path.
[[nodiscard]] std::vector<DocumentError> checkSchema(const nlohmann::json &document,
                                                     std::string_view schemaText);

/// Formats errors as lines of the form "path: message".
[[nodiscard]] std::string joinErrors(const std::vector<DocumentError> &errors);

} // namespace cowsliprock
