#pragma once

#include <cstddef>
#include <string_view>

namespace cowsliprock {

/// True if \p bytes are one complete CBOR item whose arrays and maps are nested at most \p maxDepth
/// levels deep. Items of indefinite length and tags are not accepted: no daemon sends them.
[[nodiscard]] bool cborWithinDepth(std::string_view bytes, std::size_t maxDepth);

} // namespace cowsliprock
