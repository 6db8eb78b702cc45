#include "session.h"

#include <configuration/document.h>

#include <algorithm>
#include <chrono>
#include <thread>

namespace cowsliprock::cli {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr Duration pollInterval = 1s;

/// Requests are answered by their deadline of at most 25 s; the rest is for transfer.
constexpr Duration requestTimeout = 30s;

} // namespace

ExitCode Session::submit()
{
    HttpRequest call{ "POST", "/v1/jobs", { { "Content-Type", "application/json" } } };
    if (m_line.file.empty()) {
        call.body = json{ { "name", m_line.positionals.front() } }.dump();
    } else {
        const auto text = readFile(m_line.file);
        if (!text)
            return ExitCode::Usage;
        auto job = parseSubmittedJob(*text);
        if (const auto *errors = std::get_if<std::vector<DocumentError>>(&job))
            return usageError(joinErrors(*errors));
        call.body = std::get<std::string>(std::move(job));
    }
    return printResult(sendToFirstReachable(call));
}

ExitCode Session::callJob(const std::string &method)
{
    return printResult(sendToFirstReachable({ method, "/v1/jobs/" + m_line.positionals.front() }));
}

ExitCode Session::wait()
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(m_line.timeoutSeconds);
    for (;;) {
        const auto response =
            sendToFirstReachable({ "GET", "/v1/jobs/" + m_line.positionals.front() });
        if (response && exitCodeOf(response.value()) == ExitCode::Ok) {
            const json body = json::parse(response.value().body, nullptr, false);
            const std::string state = body.is_object() ? body.value("state", "") : "";
            if (state == "succeeded" || state == "failed" || state == "cancelled") {
                print(body);
                return state == "succeeded" ? ExitCode::Ok : ExitCode::Refused;
            }
        } else if (response && response.value().status < 500) {
            return printResult(response);
        }
        // Daemon failures are retried until the timeout; they do not affect the job.
        if (std::chrono::steady_clock::now() + pollInterval > end) {
            m_program.errors << "job did not end within the timeout\n";
            return ExitCode::Unknown;
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

ExitCode Session::request()
{
    HttpRequest call;
    call.method = m_line.method;
    const std::string &path = m_line.positionals[1];
    call.path = "/services/" + m_line.positionals[0] + (path.starts_with('/') ? "" : "/") + path;
    call.timeout = requestTimeout;
    call.body = m_line.data;
    if (!m_line.file.empty()) {
        auto text = readFile(m_line.file);
        if (!text)
            return ExitCode::Usage;
        call.body = std::move(*text);
    }
    const auto add = [&](const char *name, const std::string &value) {
        if (!value.empty())
            call.headers[name] = value;
    };
    add("Idempotency-Key", m_line.key);
    add("X-Caller", m_line.caller);
    add("X-Priority", m_line.priority);
    if (m_line.idempotent)
        add("X-Idempotent", *m_line.idempotent ? "true" : "false");
    if (m_line.deadlineMs)
        add("X-Deadline-Ms", std::to_string(*m_line.deadlineMs));

    const auto response = sendToFirstReachable(call);
    if (!response)
        return printFailure(response.error());
    const HttpResponse &value = response.value();
    const ExitCode code = exitCodeOf(value);
    if (code != ExitCode::Ok)
        return printResult(response);
    if (m_line.json)
        print({ { "status", value.status }, { "body", value.body } });
    else
        m_program.out << value.body;
    return code;
}

std::optional<std::string> Session::fetch(const std::string &daemon, const std::string &path)
{
    const auto response = m_program.transport(daemon, { "GET", path });
    if (response && exitCodeOf(response.value()) == ExitCode::Ok)
        return response.value().body;
    m_program.errors << (response ? daemon + ": " + response.value().body : response.error().text())
                     << '\n';
    return std::nullopt;
}

ExitCode Session::printMergedList(const std::string &path, const std::string &member)
{
    json merged = json::array();
    ExitCode code = ExitCode::Ok;
    for (const std::string &daemon : m_line.daemons) {
        const auto response = fetch(daemon, path);
        if (!response) {
            code = ExitCode::Unreachable;
            continue;
        }
        const json body = json::parse(*response, nullptr, false);
        if (!body.is_object())
            continue;
        for (json row : body.value(member, json::array())) {
            row["daemon"] = daemon;
            merged.push_back(std::move(row));
        }
    }
    if (m_line.json)
        print({ { member, merged } });
    else
        print(merged);
    return code;
}

ExitCode Session::printPerDaemon(const std::string &path)
{
    json merged = json::object();
    ExitCode code = ExitCode::Ok;
    for (const std::string &daemon : m_line.daemons) {
        const auto response = fetch(daemon, path);
        if (!response) {
            code = ExitCode::Unreachable;
            continue;
        }
        merged[daemon] = json::parse(*response, nullptr, false);
    }
    if (m_line.json) {
        print(merged);
        return code;
    }
    for (const auto &[daemon, body] : merged.items()) {
        m_program.out << "== " << daemon << '\n';
        printText(m_program.out, body);
    }
    return code;
}

} // namespace cowsliprock::cli
