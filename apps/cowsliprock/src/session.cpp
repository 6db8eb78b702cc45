#include "session.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace cowsliprock::cli {

namespace {

using nlohmann::json;

[[nodiscard]] json parsedBody(const std::string &body)
{
    json value = json::parse(body, nullptr, false);
    return value.is_discarded() ? json{ { "body", body } } : value;
}

} // namespace

ExitCode exitCodeOf(const HttpAnswer &answer)
{
    const auto outcome = answer.headers.find("x-outcome");
    if (outcome != answer.headers.end() && outcome->second == "whole")
        return ExitCode::Ok; // Whatever the endpoint answered, it is its whole answer.
    if (answer.status >= 200 && answer.status < 300)
        return ExitCode::Ok;
    if (answer.status == 409)
        return ExitCode::Conflict;
    const json body = json::parse(answer.body, nullptr, false);
    const bool unknown = body.is_object() && body.value("outcome", json()) == "unknown";
    const bool serverFault = answer.status >= 500 && answer.status != 503;
    return unknown || serverFault ? ExitCode::Unknown : ExitCode::Refused;
}

ExitCode Session::run()
{
    const std::string &command = m_line.command;
    if (command == "submit")
        return submit();
    if (command == "status")
        return jobCall("GET");
    if (command == "cancel")
        return jobCall("DELETE");
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
        return list("/v1/" + command, command);
    if (command == "daemons")
        return perDaemon("/v1/daemons");
    if (command == "late")
        return perDaemon("/v1/late");
    if (command == "replay")
        return replay();
    if (command == "explain")
        return explainJob();
    return reportBurn();
}

Result<HttpAnswer> Session::sendToFirst(const HttpCall &call)
{
    Result<HttpAnswer> answer = Error{ ErrorKind::Unavailable, "http", {}, "no daemon is named" };
    for (const std::string &daemon : m_line.daemons) {
        answer = m_program.transport(daemon, call);
        // The next daemon may be tried only if this one certainly received nothing.
        if (answer || answer.error().kind != ErrorKind::Unavailable)
            break;
        m_program.errors << answer.error().text() << '\n';
    }
    return answer;
}

ExitCode Session::finish(const Result<HttpAnswer> &answer)
{
    if (!answer)
        return fail(answer.error());
    const ExitCode code = exitCodeOf(answer.value());
    const json body = parsedBody(answer.value().body);
    if (code == ExitCode::Ok || m_line.json)
        print(body);
    else
        printErrors(body);
    return code;
}

ExitCode Session::fail(const Error &error)
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

ExitCode Session::usage(const std::string &text)
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
        m_program.errors << path << ": cannot be read\n";
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
