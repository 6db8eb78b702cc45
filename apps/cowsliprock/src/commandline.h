#pragma once

#include <base/error.h>

#include <optional>
#include <string>
#include <vector>

namespace cowsliprock::cli {

/// Parsed command line.
struct CommandLine
{
    std::string command; ///< "submit", "configuration apply", ...
    std::vector<std::string> positionals;
    std::vector<std::string> daemons;
    bool json = false;
    bool help = false;
    std::string helpText;

    std::string file; ///< Used by submit and request.
    std::string method = "GET";
    std::string data;
    std::string key;
    std::string caller;
    std::string priority;
    std::optional<bool> idempotent;
    std::optional<int> deadlineMs;
    int timeoutSeconds = 3600;
    std::optional<unsigned long long> base;
};

/// Parses the arguments of the program. Fails with ErrorKind::Invalid.
[[nodiscard]] Result<CommandLine> parseCommandLine(const std::vector<std::string> &arguments);

/// Returns the text of `cowsliprock --help`.
[[nodiscard]] std::string generalHelp();

} // namespace cowsliprock::cli
