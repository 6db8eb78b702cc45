#pragma once

#include <cstddef>

namespace cowsliprock {

/// Bytes between chunks that a peer may send per byte of the body. Chunks of one byte need five.
constexpr std::size_t chunkBytesPerBodyByte = 8;

/// Length of the shortest end of a chunked body, an empty last chunk without trailers. The parser
/// of Boost 1.74 aborts the process (BOOST_ASSERT(n >= 5)) if it is presented with less after it
/// has seen the line of the last chunk. A body that is not complete always has more to come.
constexpr std::size_t minChunkedBytes = 5;

} // namespace cowsliprock
