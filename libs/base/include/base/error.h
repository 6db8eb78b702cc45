#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>

namespace cowsliprock {

/// Category of an Error.
enum class ErrorKind { Unavailable, Timeout, Conflict, NotFound, Invalid, Refused, Internal };

/// An error with the operation that failed and the remote peer that was involved.
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string step; ///< The failed operation, for example "store.compareAndSwap".
    std::string peer; ///< Name or address of the remote peer; empty for a local operation.
    std::string detail;

    /// Message for logs and command-line output: "step [peer]: kind: detail".
    [[nodiscard]] std::string text() const;
};

[[nodiscard]] const char *toString(ErrorKind kind) noexcept;

/// A value or an Error. Access to the one that is absent terminates the process.
template <typename T>
using Result =
    BOOST_OUTCOME_V2_NAMESPACE::result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

} // namespace cowsliprock
