#pragma once

#include <cli/transport.h>

#include <ostream>
#include <string>
#include <vector>

namespace cowsliprock::cli {

/// Exit codes, documented in docs/operations/cli.md.
enum class ExitCode {
    Ok = 0,
    Usage = 1,       ///< The command line or a file is wrong.
    Refused = 2,     ///< Refused, failed or not run.
    Unknown = 3,     ///< It may have had an effect; the outcome is unknown.
    Unreachable = 4, ///< No daemon, or not every daemon of a list, can be reached.
    Conflict = 5     ///< Another configuration was accepted first.
};

/// The command line program, with its connections to the outside.
struct Program
{
    Transport transport;
    std::ostream &out;
    std::ostream &errors;

    /// Runs one command; \p arguments are without the program's name.
    [[nodiscard]] ExitCode run(const std::vector<std::string> &arguments) const;
};

} // namespace cowsliprock::cli
