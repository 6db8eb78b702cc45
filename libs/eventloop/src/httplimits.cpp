#include <eventloop/httplimits.h>

namespace cowsliprock {

const char *toString(HttpLimit limit) noexcept
{
    switch (limit) {
    case HttpLimit::HeaderBytes:
        return "headerBytes";
    case HttpLimit::BodyBytes:
        return "bodyBytes";
    case HttpLimit::ChunkBytes:
        return "chunkBytes";
    case HttpLimit::TotalBytes:
        return "totalBytes";
    case HttpLimit::HeaderTimeout:
        return "headerTimeout";
    case HttpLimit::MessageTimeout:
        return "messageTimeout";
    case HttpLimit::IdleTimeout:
        return "idleTimeout";
    case HttpLimit::WriteTimeout:
        return "writeTimeout";
    case HttpLimit::Connections:
        return "connections";
    }
    return "unknown";
}

} // namespace cowsliprock
