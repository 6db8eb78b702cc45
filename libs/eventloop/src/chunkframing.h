#pragma once

#include <cstddef>

namespace cowsliprock {

/// Bytes between chunks that a peer may send per byte of the body. Chunks of one byte need five.
constexpr std::size_t chunkBytesPerBodyByte = 8;

} // namespace cowsliprock
