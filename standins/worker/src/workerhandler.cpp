#include "workerhandler.h"

#include <base/id.h>
#include <kernel/serialization.h>

#include <nlohmann/json.hpp>

#include <thread>

namespace cowsliprock::standin {

namespace {

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr const char *jsonType = "application/json";
constexpr std::size_t maxEchoBytes = 4096;

void sendJson(httplib::Response &response, int status, const json &document)
{
    response.status = status;
    response.set_content(document.dump(-1, ' ', false, json::error_handler_t::replace), jsonType);
}

void sendRefusal(httplib::Response &response, bool leaving)
{
    response.set_header("X-Refused", "1");
    if (leaving) {
        response.set_header("X-Leaving", "1");
        response.set_header("Connection", "close");
    }
    sendJson(response, 503, { { "error", "refused before the start" } });
}

/// Milliseconds on the steady clock, which is comparable between processes on one host.
[[nodiscard]] std::int64_t steadyMilliseconds(TaskRun::SteadyTime time)
{
    return duration_cast<milliseconds>(time.time_since_epoch()).count();
}

[[nodiscard]] json toJson(const Resources &amount)
{
    return { { "cpuMillis", amount.cpuMillis },
             { "memoryMb", amount.memoryMb },
             { "accelerators", amount.accelerators } };
}

[[nodiscard]] json toJson(const TaskRun &run)
{
    return { { "attempt", run.launch.attempt.value() },
             { "job", run.launch.job.value() },
             { "index", run.launch.index },
             { "state", static_cast<int>(run.state) },
             { "startedMs", steadyMilliseconds(run.startedAt) },
             { "endedMs", run.endedAt ? json(steadyMilliseconds(*run.endedAt)) : json() } };
}

[[nodiscard]] json toJson(const std::vector<TaskOverlap> &overlaps)
{
    json result = json::array();
    for (const TaskOverlap &overlap : overlaps) {
        result.push_back({ { "job", overlap.job.value() },
                           { "index", overlap.index },
                           { "attempts", { overlap.first.value(), overlap.second.value() } } });
    }
    return result;
}

[[nodiscard]] json toJson(const WorkerProperties &properties, const Worker::Observations &observed)
{
    json runs = json::array();
    for (const TaskRun &run : observed.runs)
        runs.push_back(toJson(run));
    return { { "worker", properties.name.value() },
             { "capacity", toJson(properties.capacity) },
             { "maximumDeclared", toJson(observed.maximumDeclared) },
             { "overCapacity", !observed.maximumDeclared.fitsIn(properties.capacity) },
             { "maximumRequests", observed.maximumRequests },
             { "slots", observed.slots },
             { "attempts", observed.attempts },
             { "keys", observed.keys },
             { "requestsRefused", observed.requestsRefused },
             { "latestAfterLeavingMs",
               observed.lastRequestAfterLeaving ? json(observed.lastRequestAfterLeaving->count())
                                                : json() },
             { "runs", std::move(runs) },
             { "overlaps", toJson(findOverlaps(observed.runs)) } };
}

/// Declares the full content length but closes the connection after half of the body.
void sendTruncated(httplib::Response &response, const std::string &body)
{
    response.status = 200;
    response.set_content_provider(body.size(), jsonType,
                                  [body](std::size_t offset, std::size_t, httplib::DataSink &sink) {
                                      if (offset > 0)
                                          return false;
                                      return sink.write(body.data(), body.size() / 2);
                                  });
}

} // namespace

void WorkerHandler::handle(const httplib::Request &request, httplib::Response &response)
{
    try {
        if (request.path == "/v1/faults")
            return setFaults(request, response);
        if (request.path == "/v1/observations")
            return sendJson(response, 200, toJson(m_worker.properties(), m_worker.observations()));
        std::this_thread::sleep_for(m_worker.faults().delay);
        if (request.path == "/v1/report")
            report(request, response);
        else if (request.path == "/v1/tasks")
            start(request, response);
        else if (request.path == "/v1/tasks/stop")
            stop(request, response);
        else if (request.path.starts_with("/services/"))
            serve(request, response);
        else
            sendJson(response, 404, { { "error", "no such path" } });
    } catch (const std::exception &exception) {
        sendJson(response, 400, { { "error", exception.what() } });
    }
}

void WorkerHandler::report(const httplib::Request &request, httplib::Response &response)
{
    const json document = json::parse(request.body);
    std::vector<AttemptId> renew;
    for (const json &attempt : document.at("renew"))
        renew.emplace_back(attempt.get<std::string>());
    const milliseconds lease(document.at("leaseMs").get<std::int64_t>());
    response.set_content(encodeWorkerReport(m_worker.report(renew, lease)), jsonType);
}

void WorkerHandler::start(const httplib::Request &request, httplib::Response &response)
{
    const auto task = decodeTaskStart(request.body);
    if (!task)
        return sendJson(response, 400, { { "error", task.error().text() } });
    switch (m_worker.start(task.value())) {
    case Worker::StartResult::Created:
        return sendJson(response, 201, json::object());
    case Worker::StartResult::AlreadyExists:
        return sendJson(response, 200, json::object());
    case Worker::StartResult::Refused:
        return sendRefusal(response, false);
    }
}

void WorkerHandler::stop(const httplib::Request &request, httplib::Response &response)
{
    const json document = json::parse(request.body);
    const auto state = m_worker.stop(AttemptId(document.at("attempt").get<std::string>()),
                                     document.at("mode").get<std::string>());
    if (!state)
        return sendJson(response, 404, { { "error", "no such task" } });
    sendJson(response, 200, { { "state", static_cast<unsigned>(*state) } });
}

void WorkerHandler::setFaults(const httplib::Request &request, httplib::Response &response)
{
    WorkerFaults faults = m_worker.faults();
    const json document = json::parse(request.body);
    faults.failStarts = document.value("failStarts", faults.failStarts);
    faults.refuse = document.value("refuse", faults.refuse);
    faults.leaving = document.value("leaving", faults.leaving);
    faults.truncateResponses = document.value("cutAnswers", faults.truncateResponses);
    faults.delay = milliseconds(document.value("delayMs", faults.delay.count()));
    m_worker.setFaults(faults);
    sendJson(response, 200, json::object());
}

void WorkerHandler::serve(const httplib::Request &request, httplib::Response &response)
{
    const std::size_t begin = std::string("/services/").size();
    const std::string service = request.path.substr(begin, request.path.find('/', begin) - begin);
    const std::string key = request.get_header_value("Idempotency-Key");
    const std::string caller = request.get_header_value("X-Caller");
    const std::string attempt = request.get_header_value("X-Attempt");
    const auto admission =
        m_worker.beginRequest(service, attempt, key.empty() ? key : caller + "/" + key);
    if (admission != Worker::Admission::Accepted)
        return sendRefusal(response, admission == Worker::Admission::Leaving);
    const milliseconds time = request.has_param("ms")
        ? milliseconds(std::stoll(request.get_param_value("ms")))
        : m_worker.properties().serviceTime;
    std::this_thread::sleep_for(time);
    m_worker.endRequest(service);
    const json document = { { "worker", m_worker.properties().name.value() },
                            { "attempt", attempt },
                            { "caller", caller },
                            { "key", key },
                            { "method", request.method },
                            { "target", request.target },
                            { "bodyBytes", request.body.size() },
                            { "bodyHash", stableHash(request.body) },
                            { "echo", request.body.substr(0, maxEchoBytes) } };
    if (m_worker.faults().truncateResponses)
        return sendTruncated(response,
                             document.dump(-1, ' ', false, json::error_handler_t::replace));
    sendJson(response, 200, document);
}

std::string observationsToJson(const std::vector<Worker *> &workers)
{
    json list = json::array();
    std::vector<TaskRun> runs;
    for (Worker *worker : workers) {
        const Worker::Observations observed = worker->observations();
        list.push_back(toJson(worker->properties(), observed));
        runs.insert(runs.end(), observed.runs.begin(), observed.runs.end());
    }
    return json{
        { "workers", std::move(list) }, { "overlaps", toJson(findOverlaps(std::move(runs))) }
    }.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace cowsliprock::standin
