#include "session.h"

#include <configuration/document.h>

namespace cowsliprock::cli {

namespace {

using nlohmann::json;

/// Writing a document of 1 MB and resolving a lost reply of the store take up to 10 s.
constexpr std::chrono::seconds applyTimeout{ 40 };

/// The output of `configuration get` has version and document around the document.
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
    const auto answer = sendToFirst({ "GET", "/v1/configuration" });
    if (!answer || exitCodeOf(answer.value()) != ExitCode::Ok)
        return finish(answer);
    const json body = json::parse(answer.value().body, nullptr, false);
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
        return finish(sendToFirst({ "POST",
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
    const auto answer = sendToFirst({ "GET", "/v1/configuration" });
    if (!answer || exitCodeOf(answer.value()) != ExitCode::Ok)
        return finish(answer);
    const json present = json::parse(answer.value().body, nullptr, false);
    if (!present.is_object() || !present.contains("document"))
        return fail({ ErrorKind::Internal, "configuration.diff", {}, "unexpected answer" });
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
        return usage("--base is missing: the version that the document was made from "
                     "(0 for the first configuration)");
    HttpCall call{ "POST",
                   "/v1/configuration",
                   { { "Content-Type", "application/json" } },
                   json{ { "baseVersion", *base }, { "document", file->document } }.dump() };
    call.timeout = applyTimeout;
    return finish(sendToFirst(call));
}

} // namespace cowsliprock::cli
