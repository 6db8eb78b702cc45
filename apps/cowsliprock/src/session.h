#pragma once

#include "commandline.h"

#include <cli/program.h>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace cowsliprock::cli {

/// One run of a command: sends its calls and prints what came back.
class Session
{
public:
    Session(const Program &program, const CommandLine &line) noexcept
        : m_program(program)
        , m_line(line)
    { }

    [[nodiscard]] ExitCode run();

private:
    // Jobs.
    [[nodiscard]] ExitCode submit();
    [[nodiscard]] ExitCode jobCall(const std::string &method);
    [[nodiscard]] ExitCode wait();
    [[nodiscard]] ExitCode request();

    // Configuration.
    [[nodiscard]] ExitCode configurationGet();
    [[nodiscard]] ExitCode configurationValidate();
    [[nodiscard]] ExitCode configurationDiff();
    [[nodiscard]] ExitCode configurationApply();

    // Lists of all daemons.
    /// Body of a daemon's list; a daemon that does not give it is reported as an error.
    [[nodiscard]] std::optional<std::string> read(const std::string &daemon,
                                                  const std::string &path);
    [[nodiscard]] ExitCode list(const std::string &path, const std::string &member);
    [[nodiscard]] ExitCode perDaemon(const std::string &path);
    /// Merges the parts of the daemons; a daemon without a part is a gap.
    [[nodiscard]] ExitCode reportBurn();

    [[nodiscard]] ExitCode replay();
    [[nodiscard]] ExitCode explainJob();

    /// Sends to the daemons in their order until one can be reached.
    [[nodiscard]] Result<HttpAnswer> sendToFirst(const HttpCall &call);
    [[nodiscard]] ExitCode finish(const Result<HttpAnswer> &answer);
    [[nodiscard]] ExitCode fail(const Error &error);
    [[nodiscard]] ExitCode usage(const std::string &text);
    [[nodiscard]] std::optional<std::string> readFile(const std::string &path);

    /// A document file, which may be the output of `configuration get`.
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

/// Exit code for an answer of a daemon to an operator or caller.
[[nodiscard]] ExitCode exitCodeOf(const HttpAnswer &answer);

/// Text form of a value: tables for lists of objects, "name: value" lines for objects.
void printText(std::ostream &out, const nlohmann::json &value);

} // namespace cowsliprock::cli
