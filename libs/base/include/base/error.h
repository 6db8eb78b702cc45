#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>

namespace cowsliprock {

enum class ErrorKind { Unavailable, Timeout, Conflict, NotFound, Invalid, Refused, Internal };

/// An error with the step and the peer at which it arose.
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string step; ///< For example "store.compareAndSwap".
    std::string peer; ///< Name or address of the other side; empty for a local step.
    std::string detail;

    /// Text for logs and command line output: "step [peer]: kind: detail".
    [[nodiscard]] std::string text() const;
};

[[nodiscard]] const char *toString(ErrorKind kind) noexcept;

template <typename T>
using Result =
    BOOST_OUTCOME_V2_NAMESPACE::result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

} // namespace cowsliprock
