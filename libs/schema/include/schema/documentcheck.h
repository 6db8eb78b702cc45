#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace cowsliprock {

/// One fault of a document written by people.
struct DocumentError
{
    std::string path;    ///< JSON Pointer (RFC 6901); empty for the document itself.
    std::string message; ///< Says what is wrong and what would be valid.

    bool operator==(const DocumentError &) const = default;
};

struct DocumentLimits
{
    std::size_t bytes = 1'000'000;
    int depth = 16; ///< Nested objects and arrays.
};

/// Parses JSON text. Repeated member names and text beyond the limits are errors.
/// Returns no errors if \p target was set.
[[nodiscard]] std::vector<DocumentError>
parseDocument(std::string_view text, const DocumentLimits &limits, nlohmann::json &target);

/// Checks a document against a JSON Schema (draft 7) and returns all faults, ordered by path.
[[nodiscard]] std::vector<DocumentError> checkSchema(const nlohmann::json &document,
                                                     std::string_view schemaText);

/// Lines of the form "path: message".
[[nodiscard]] std::string joinErrors(const std::vector<DocumentError> &errors);

} // namespace cowsliprock
