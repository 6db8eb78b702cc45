#pragma once

#include <base/error.h>

#include <optional>
#include <string>
#include <vector>

namespace cowsliprock::cli {

/// A command line that was read.
struct CommandLine
{
    std::string command; ///< "submit", "configuration apply", ...
    std::vector<std::string> positionals;
    std::vector<std::string> daemons;
    bool json = false;
    bool help = false;
    std::string helpText;

    std::string file; ///< Of submit and request.
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

/// Fails with ErrorKind::Invalid.
[[nodiscard]] Result<CommandLine> parseCommandLine(const std::vector<std::string> &arguments);

/// Text of `cowsliprock --help`.
[[nodiscard]] std::string overview();

} // namespace cowsliprock::cli
