#include <base/error.h>

namespace cowsliprock {

const char *toString(ErrorKind kind) noexcept
{
    switch (kind) {
    case ErrorKind::Unavailable:
        return "unavailable";
    case ErrorKind::Timeout:
        return "timeout";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::NotFound:
        return "not found";
    case ErrorKind::Invalid:
        return "invalid";
    case ErrorKind::Refused:
        return "refused";
    case ErrorKind::Internal:
        return "internal";
    }
    return "unknown";
}

std::string Error::text() const
{
    std::string result = step;
    if (!peer.empty())
        result += " [" + peer + "]";
    result += ": ";
    result += toString(kind);
    if (!detail.empty())
        result += ": " + detail;
    return result;
}

} // namespace cowsliprock
