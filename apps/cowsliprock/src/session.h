#pragma once

#include "commandline.h"

#include <cli/program.h>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace cowsliprock::cli {

/// Executes one command: sends its calls to the daemons and prints the results.
class Session
{
public:
    Session(const Program &program, const CommandLine &line) noexcept
        : m_program(program)
        , m_line(line)
    { }

    [[nodiscard]] ExitCode run();

private:
    // Jobs and requests.
    [[nodiscard]] ExitCode submit();
    [[nodiscard]] ExitCode callJob(const std::string &method);
    [[nodiscard]] ExitCode wait();
    [[nodiscard]] ExitCode request();

    // Configuration.
    [[nodiscard]] ExitCode configurationGet();
    [[nodiscard]] ExitCode configurationValidate();
    [[nodiscard]] ExitCode configurationDiff();
    [[nodiscard]] ExitCode configurationApply();

    // Lists collected from all daemons.
    /// Fetches a list from a daemon. Prints an error and returns std::nullopt on failure.
    [[nodiscard]] std::optional<std::string> fetch(const std::string &daemon,
                                                   const std::string &path);
    [[nodiscard]] ExitCode printMergedList(const std::string &path, const std::string &member);
    [[nodiscard]] ExitCode printPerDaemon(const std::string &path);
    /// Merges the reports of all daemons. Daemons without a report are listed as gaps.
    [[nodiscard]] ExitCode reportBurn();

    [[nodiscard]] ExitCode replay();
    [[nodiscard]] ExitCode explainJob();

    /// Tries the daemons in order until one is reachable.
    [[nodiscard]] Result<HttpResponse> sendToFirstReachable(const HttpRequest &call);
    [[nodiscard]] ExitCode printResult(const Result<HttpResponse> &response);
    [[nodiscard]] ExitCode printFailure(const Error &error);
    [[nodiscard]] ExitCode usageError(const std::string &text);
    [[nodiscard]] std::optional<std::string> readFile(const std::string &path);

    /// A configuration document with the version given in its file, if any. The file may be the
    /// output of `configuration get`.
    struct DocumentFile
    {
        nlohmann::json document;
        std::optional<unsigned long long> version;
    };
    [[nodiscard]] std::optional<DocumentFile> readDocument();

    void print(const nlohmann::json &body);
    void printErrors(const nlohmann::json &body);

    const Program &m_program;
    const CommandLine &m_line;
};

/// Returns the exit code for the response of a daemon.
[[nodiscard]] ExitCode exitCodeOf(const HttpResponse &response);

/// Prints a value as text: lists of objects as tables, objects as "name: value" lines.
void printText(std::ostream &out, const nlohmann::json &value);

} // namespace cowsliprock::cli
