#pragma once

#include <cli/transport.h>

#include <ostream>
#include <string>
#include <vector>

namespace cowsliprock::cli {

/// Exit codes of the program, documented in docs/operations/cli.md.
enum class ExitCode {
    Ok = 0,
    Usage = 1,       ///< Invalid command line or input file.
    Refused = 2,     ///< The operation was refused, failed or was not executed.
    Unknown = 3,     ///< The outcome is unknown; the operation may have had an effect.
    Unreachable = 4, ///< No daemon is reachable or, for lists, not all daemons are.
    Conflict = 5     ///< A different configuration was accepted first.
};

/// The command line program with its transport and output streams.
struct Program
{
    Transport transport;
    std::ostream &out;
    std::ostream &errors;

    /// Runs one command. \p arguments do not include the program name.
    [[nodiscard]] ExitCode run(const std::vector<std::string> &arguments) const;
};

} // namespace cowsliprock::cli
