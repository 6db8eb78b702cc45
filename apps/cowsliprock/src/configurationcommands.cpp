#include "session.h"

#include <configuration/document.h>

namespace cowsliprock::cli {

namespace {

using nlohmann::json;

/// Writing a document of 1 MB and resolving a lost reply of the store may take up to 10 s.
constexpr std::chrono::seconds applyTimeout{ 40 };

/// Above the limits of a bare document, since the output of `configuration get` wraps the document
/// in an object with its version.
constexpr DocumentLimits fileLimits{ 2'000'000, 20 };

} // namespace

std::optional<Session::DocumentFile> Session::readDocument()
{
    const auto text = readFile(m_line.positionals.front());
    if (!text)
        return std::nullopt;
    DocumentFile file;
    if (const auto errors = parseDocument(*text, fileLimits, file.document); !errors.empty()) {
        m_program.errors << joinErrors(errors) << '\n';
        return std::nullopt;
    }
    if (file.document.is_object() && file.document.contains("document")
        && file.document.value("version", json()).is_number_unsigned()) {
        file.version = file.document["version"].get<unsigned long long>();
        json document = std::move(file.document["document"]);
        file.document = std::move(document);
    }
    return file;
}

ExitCode Session::configurationGet()
{
    const auto response = sendToFirstReachable({ "GET", "/v1/configuration" });
    if (!response || exitCodeOf(response.value()) != ExitCode::Ok)
        return printResult(response);
    const json body = json::parse(response.value().body, nullptr, false);
    m_program.out << body.dump(2, ' ', false, json::error_handler_t::replace) << '\n';
    return ExitCode::Ok;
}

ExitCode Session::configurationValidate()
{
    const auto file = readDocument();
    if (!file)
        return ExitCode::Usage;
    const std::string text = file->document.dump();
    if (!m_line.daemons.empty())
        return printResult(sendToFirstReachable({ "POST",
                                                  "/v1/configuration/validate",
                                                  { { "Content-Type", "application/json" } },
                                                  text }));
    const auto result = parseConfiguration(text, {});
    if (const auto *errors = std::get_if<std::vector<DocumentError>>(&result)) {
        m_program.errors << joinErrors(*errors) << '\n';
        return ExitCode::Refused;
    }
    print({ { "valid", true } });
    return ExitCode::Ok;
}

ExitCode Session::configurationDiff()
{
    const auto file = readDocument();
    if (!file)
        return ExitCode::Usage;
    const auto response = sendToFirstReachable({ "GET", "/v1/configuration" });
    if (!response || exitCodeOf(response.value()) != ExitCode::Ok)
        return printResult(response);
    const json present = json::parse(response.value().body, nullptr, false);
    if (!present.is_object() || !present.contains("document"))
        return printFailure(
            { ErrorKind::Internal, "configuration.diff", {}, "unexpected response" });
    const json patch = json::diff(present["document"], file->document);
    if (m_line.json) {
        print(patch);
    } else {
        for (const json &operation : patch)
            m_program.out << operation.dump() << '\n';
    }
    return ExitCode::Ok;
}

ExitCode Session::configurationApply()
{
    const auto file = readDocument();
    if (!file)
        return ExitCode::Usage;
    const auto base = m_line.base ? m_line.base : file->version;
    if (!base)
        return usageError("missing option --base: the version on which the document is based "
                          "(0 for the first configuration)");
    HttpRequest call{ "POST",
                      "/v1/configuration",
                      { { "Content-Type", "application/json" } },
                      json{ { "baseVersion", *base }, { "document", file->document } }.dump() };
    call.timeout = applyTimeout;
    return printResult(sendToFirstReachable(call));
}

} // namespace cowsliprock::cli
