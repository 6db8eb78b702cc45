#include <platform/workerclient.h>

#include <kernel/serialization.h>

#include "httpconnection.h"

#include <nlohmann/json.hpp>

namespace cowsliprock {

namespace {

using nlohmann::json;

[[nodiscard]] const char *toString(effect::StopTask::Mode mode) noexcept
{
    using Mode = effect::StopTask::Mode;
    switch (mode) {
    case Mode::Stop:
        return "stop";
    case Mode::Checkpoint:
        return "checkpoint";
    case Mode::Throttle:
        return "throttle";
    case Mode::Unthrottle:
        return "unthrottle";
    }
    return "stop";
}

[[nodiscard]] bool isRunning(const std::string &answer)
{
    const json document = json::parse(answer, nullptr, false);
    if (!document.is_object() || !document.contains("state")
        || !document["state"].is_number_unsigned())
        return true;
    const auto state = document["state"].get<std::uint64_t>();
    return state < static_cast<std::uint64_t>(TaskState::Succeeded)
        || state > static_cast<std::uint64_t>(TaskState::Lapsed);
}

[[nodiscard]] std::string pollBody(const effect::PollWorker &effect)
{
    const auto lease = std::chrono::duration_cast<std::chrono::milliseconds>(effect.lease);
    json renew = json::array();
    for (const AttemptId &attempt : effect.renew)
        renew.push_back(attempt.value());
    return json{ { "renew", std::move(renew) }, { "leaseMs", lease.count() } }.dump();
}

} // namespace

class WorkerClient::Private
{
public:
    Private(WorkerClientSettings settings, const Clock &clock)
        : m_settings(std::move(settings))
        , m_clock(clock)
    { }

    [[nodiscard]] PollResult poll(const effect::PollWorker &effect)
    {
        const TimePoint askedAt = m_clock.now();
        const HttpExchange exchange =
            post(effect.address, "/v1/report", pollBody(effect), effect.validUntil);
        const char *step = "worker.poll";
        if (!exchange.answer || exchange.answer->status != 200) {
            report(step, effect.address, exchange);
            return event::WorkerUnreachable{ effect.worker };
        }
        auto decoded = decodeWorkerReport(exchange.answer->bytes);
        if (!decoded) {
            m_settings.onError(
                { ErrorKind::Invalid, step, effect.address, decoded.error().detail });
            return event::WorkerUnreachable{ effect.worker };
        }
        if (decoded.value().worker != effect.worker) {
            m_settings.onError(
                { ErrorKind::Invalid, step, effect.address,
                  "response from another worker: " + decoded.value().worker.value() });
            return event::WorkerUnreachable{ effect.worker };
        }
        decoded.value().askedAt = askedAt;
        return std::move(decoded).value();
    }

    [[nodiscard]] event::TaskStartResult start(const effect::StartTask &effect)
    {
        using message::StartOutcome;
        const HttpExchange exchange =
            post(effect.address, "/v1/tasks", encodeTaskStart({ effect.launch, effect.lease }),
                 effect.validUntil);
        event::TaskStartResult result{ effect.launch.attempt, StartOutcome::Unknown };
        const int status = exchange.answer ? exchange.answer->status : 0;
        if (status == 201 || status == 200) {
            result.outcome = StartOutcome::Started;
            return result;
        }
        if (status == 503 || exchange.provablyIncomplete())
            result.outcome = StartOutcome::NotStarted;
        report("worker.start", effect.address, exchange);
        return result;
    }

    [[nodiscard]] event::TaskStopResult stop(const effect::StopTask &effect)
    {
        const json body = { { "attempt", effect.attempt.value() },
                            { "mode", toString(effect.mode) } };
        const HttpExchange exchange =
            post(effect.address, "/v1/tasks/stop", body.dump(), effect.validUntil);
        const int status = exchange.answer ? exchange.answer->status : 0;
        const bool confirmed =
            status == 404 || (status == 200 && !isRunning(exchange.answer->bytes));
        if (status != 200 && status != 404)
            report("worker.stop", effect.address, exchange);
        return { effect.attempt, confirmed };
    }

private:
    /// Opens a new connection for each call. Polls of a worker are seconds apart and starts are
    /// spread over all workers, so a persistent connection would be idle most of the time and
    /// occupy the worker.
    [[nodiscard]] HttpExchange post(const std::string &address, const char *target,
                                    std::string bytes, TimePoint validUntil)
    {
        const Body body{ "application/json", std::move(bytes) };
        const HttpRequest request{
            "POST", target, { { "X-Client", m_settings.clientName } }, &body
        };
        ExchangeLimits limits;
        limits.deadline = std::chrono::steady_clock::now() + m_settings.callTimeout;
        limits.validUntil = validUntil;
        HttpConnection connection(address, { m_settings.connectTimeout, false, true });
        return connection.exchange(request, m_clock, limits);
    }

    void report(const char *step, const std::string &address, const HttpExchange &exchange) const
    {
        if (exchange.answer) {
            m_settings.onError({ ErrorKind::Unavailable, step, address,
                                 "status " + std::to_string(exchange.answer->status) });
        } else {
            m_settings.onError({ exchange.failure, step, address, exchange.detail });
        }
    }

    WorkerClientSettings m_settings;
    const Clock &m_clock;
};

WorkerClient::WorkerClient(WorkerClientSettings settings, const Clock &clock)
    : m_private(std::make_unique<Private>(std::move(settings), clock))
{ }

WorkerClient::~WorkerClient() = default;

WorkerClient::PollResult WorkerClient::poll(const effect::PollWorker &effect)
{
    return m_private->poll(effect);
}

event::TaskStartResult WorkerClient::start(const effect::StartTask &effect)
{
    return m_private->start(effect);
}

event::TaskStopResult WorkerClient::stop(const effect::StopTask &effect)
{
    return m_private->stop(effect);
}

} // namespace cowsliprock
