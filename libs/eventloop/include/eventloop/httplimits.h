#pragma once

#include <base/time.h>

#include <cstddef>

namespace cowsliprock {

/// Limits of an HTTP server on what its clients may cost it.
struct HttpServerLimits
{
    /// Header section and trailers together. Also the request line, and a chunk's line with its
    /// extensions.
    std::size_t headerBytes = 32UL * 1024UL;
    std::size_t bodyBytes = 512UL * 1024UL;
    std::size_t connections = 1024;
    /// From the first byte of a message to the end of its header section.
    Duration headerTimeout{ std::chrono::seconds(5) };
    /// From the first byte of a message to its last.
    Duration messageTimeout{ std::chrono::seconds(10) };
    Duration idleTimeout{ std::chrono::seconds(60) };
    /// For writing a whole response.
    Duration writeTimeout{ std::chrono::seconds(10) };

    bool operator==(const HttpServerLimits &) const = default;
};

/// Limits of an HTTP client on the response to one call.
struct HttpClientLimits
{
    std::size_t headerBytes = 32UL * 1024UL; ///< Also of trailers, and of a chunk's line.
    std::size_t bodyBytes = 8UL * 1024UL * 1024UL;

    bool operator==(const HttpClientLimits &) const = default;
};

/// The limit for which a server rejected a message or closed a connection.
enum class HttpLimit {
    HeaderBytes,
    BodyBytes,
    ChunkBytes,
    TotalBytes,
    HeaderTimeout,
    MessageTimeout,
    IdleTimeout,
    WriteTimeout,
    Connections,
};

/// Name of the limit, as in the settings file where it can be set there.
[[nodiscard]] const char *toString(HttpLimit limit) noexcept;

} // namespace cowsliprock
