#include "session.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace cowsliprock::cli {

namespace {

using nlohmann::json;

[[nodiscard]] json parseBody(const std::string &body)
{
    json value = json::parse(body, nullptr, false);
    return value.is_discarded() ? json{ { "body", body } } : value;
}

} // namespace

ExitCode exitCodeOf(const HttpResponse &response)
{
    const auto outcome = response.headers.find("x-outcome");
    if (outcome != response.headers.end() && outcome->second == "whole")
        return ExitCode::Ok; // A complete response of the endpoint is a success for any status.
    if (response.status >= 200 && response.status < 300)
        return ExitCode::Ok;
    if (response.status == 409)
        return ExitCode::Conflict;
    const json body = json::parse(response.body, nullptr, false);
    const bool unknown = body.is_object() && body.value("outcome", json()) == "unknown";
    const bool serverFault = response.status >= 500 && response.status != 503;
    return unknown || serverFault ? ExitCode::Unknown : ExitCode::Refused;
}

ExitCode Session::run()
{
    const std::string &command = m_line.command;
    if (command == "submit")
        return submit();
    if (command == "status")
        return callJob("GET");
    if (command == "cancel")
        return callJob("DELETE");
    if (command == "wait")
        return wait();
    if (command == "request")
        return request();
    if (command == "configuration get")
        return configurationGet();
    if (command == "configuration validate")
        return configurationValidate();
    if (command == "configuration diff")
        return configurationDiff();
    if (command == "configuration apply")
        return configurationApply();
    if (command == "workers" || command == "endpoints")
        return printMergedList("/v1/" + command, command);
    if (command == "daemons")
        return printPerDaemon("/v1/daemons");
    if (command == "late")
        return printPerDaemon("/v1/late");
    if (command == "replay")
        return replay();
    if (command == "explain")
        return explainJob();
    return reportBurn();
}

Result<HttpResponse> Session::sendToFirstReachable(const HttpRequest &call)
{
    Result<HttpResponse> response =
        Error{ ErrorKind::Unavailable, "http", {}, "no daemon specified" };
    for (const std::string &daemon : m_line.daemons) {
        response = m_program.transport(daemon, call);
        // Fall back to the next daemon only if it is certain that this one received nothing.
        if (response || response.error().kind != ErrorKind::Unavailable)
            break;
        m_program.errors << response.error().text() << '\n';
    }
    return response;
}

ExitCode Session::printResult(const Result<HttpResponse> &response)
{
    if (!response)
        return printFailure(response.error());
    const ExitCode code = exitCodeOf(response.value());
    const json body = parseBody(response.value().body);
    if (code == ExitCode::Ok || m_line.json)
        print(body);
    else
        printErrors(body);
    return code;
}

ExitCode Session::printFailure(const Error &error)
{
    m_program.errors << error.text() << '\n';
    switch (error.kind) {
    case ErrorKind::Unavailable:
        return ExitCode::Unreachable;
    case ErrorKind::Invalid:
        return ExitCode::Usage;
    default:
        return ExitCode::Unknown;
    }
}

ExitCode Session::usageError(const std::string &text)
{
    m_program.errors << text << '\n';
    return ExitCode::Usage;
}

std::optional<std::string> Session::readFile(const std::string &path)
{
    if (path == "-")
        return std::string{ std::istreambuf_iterator<char>(std::cin), {} };
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        m_program.errors << path << ": cannot read file\n";
        return std::nullopt;
    }
    return std::string{ std::istreambuf_iterator<char>(file), {} };
}

void Session::print(const json &body)
{
    if (m_line.json)
        m_program.out << body.dump(2, ' ', false, json::error_handler_t::replace) << '\n';
    else
        printText(m_program.out, body);
}

void Session::printErrors(const json &body)
{
    if (const auto errors = body.find("errors"); errors != body.end() && errors->is_array()) {
        for (const json &error : *errors)
            m_program.errors << error.value("path", "") << ": " << error.value("message", "")
                             << '\n';
        return;
    }
    printText(m_program.errors, body);
}

} // namespace cowsliprock::cli
