#include "jobjson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace cowsliprock::scheduling {

namespace {

using nlohmann::json;

Error invalid(const std::string &detail)
{
    return { ErrorKind::Invalid, "job.read", {}, detail };
}

/// Parses an enumeration value given as one of \p words or as its index.
template <typename Enumeration>
Enumeration parseEnumeration(const json &value, const std::vector<std::string> &names)
{
    if (value.is_string()) {
        const auto iterator = std::find(names.begin(), names.end(), value.get<std::string>());
        if (iterator == names.end())
            throw std::invalid_argument("unknown word " + value.dump());
        return static_cast<Enumeration>(iterator - names.begin());
    }
    const auto number = value.get<std::size_t>();
    if (number >= names.size())
        throw std::invalid_argument("unknown number " + value.dump());
    return static_cast<Enumeration>(number);
}

Resources parseResources(const json &value)
{
    Resources result;
    for (const auto &[key, amount] : value.items()) {
        if (key == "cpuMillis")
            result.cpuMillis = amount.get<std::int64_t>();
        else if (key == "memoryMb")
            result.memoryMb = amount.get<std::int64_t>();
        else if (key == "accelerators")
            result.accelerators = amount.get<std::int64_t>();
        else
            throw std::invalid_argument("unknown member perTask." + key);
    }
    return result;
}

Duration milliseconds(const json &value)
{
    return std::chrono::milliseconds(value.get<std::int64_t>());
}

bool readIdentityMember(JobDefinition &job, const std::string &key, const json &value)
{
    if (key == "name")
        job.name = value.get<std::string>();
    else if (key == "team")
        job.team = value.get<std::string>();
    else if (key == "policy")
        job.policy = value.get<std::string>();
    else if (key == "service")
        job.service = value.get<std::string>();
    else if (key == "regions")
        job.regions = value.get<std::vector<std::string>>();
    else if (key == "kind")
        job.kind = parseEnumeration<JobKind>(value, { "service", "batch", "gang" });
    else if (key == "priority")
        job.priority = parseEnumeration<Priority>(value, { "urgent", "normal", "batch" });
    else
        return false;
    return true;
}

bool readExecutionMember(JobDefinition &job, const std::string &key, const json &value)
{
    if (key == "exclusive")
        job.exclusive = value.get<bool>();
    else if (key == "mayYield")
        job.mayYield = value.get<bool>();
    else if (key == "taskCount")
        job.taskCount = value.get<std::uint32_t>();
    else if (key == "maxAttempts")
        job.maxAttempts = value.get<std::uint32_t>();
    else if (key == "perTask")
        job.perTask = parseResources(value);
    else if (key == "expectedRunTime")
        job.expectedRunTime = Duration(value.get<std::int64_t>());
    else if (key == "expectedRunTimeMs")
        job.expectedRunTime = milliseconds(value);
    else if (key == "deadline")
        job.deadline = Duration(value.get<std::int64_t>());
    else if (key == "deadlineMs")
        job.deadline = milliseconds(value);
    else
        return false;
    return true;
}

const char *phaseName(TaskPhase phase) noexcept
{
    switch (phase) {
    case TaskPhase::Recovering:
        return "recovering";
    case TaskPhase::Queued:
    case TaskPhase::Waiting:
    case TaskPhase::Reserving:
    case TaskPhase::Reserved:
    case TaskPhase::Journaling:
        return "queued";
    case TaskPhase::Starting:
        return "starting";
    case TaskPhase::Running:
        return "running";
    case TaskPhase::Stopping:
        return "stopping";
    case TaskPhase::Succeeded:
        return "succeeded";
    case TaskPhase::Failed:
        return "failed";
    case TaskPhase::Stopped:
        return "stopped";
    }
    return "unknown";
}

const char *kindName(JobKind kind) noexcept
{
    switch (kind) {
    case JobKind::Service:
        return "service";
    case JobKind::Batch:
        return "batch";
    case JobKind::Gang:
        return "gang";
    }
    return "unknown";
}

json resourcesJson(const Resources &amount)
{
    return { { "cpuMillis", amount.cpuMillis },
             { "memoryMb", amount.memoryMb },
             { "accelerators", amount.accelerators } };
}

json summary(const Job &job, TimePoint now)
{
    return { { "id", job.accepted.id.value() }, { "name", job.definition().name },
             { "team", job.definition().team }, { "kind", kindName(job.definition().kind) },
             { "state", stateOf(job) },         { "late", job.late(now) } };
}

std::string serialize(const json &document)
{
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

Result<JobDefinition> readDefinition(std::string_view body, const Configuration &configuration)
{
    try {
        const json document = json::parse(body);
        if (!document.is_object())
            return invalid("an object is expected");
        JobDefinition job;
        for (const auto &[key, value] : document.items()) {
            if (!readIdentityMember(job, key, value) && !readExecutionMember(job, key, value))
                return invalid("unknown member " + key);
        }
        if (document.size() != 1 || job.name.empty())
            return job;
        for (const auto &named : configuration.jobs) {
            if (named.name == job.name)
                return named;
        }
        return invalid("the configuration has no job " + job.name);
    } catch (const std::exception &exception) {
        return invalid(exception.what());
    }
}

Result<JobId> readId(std::string_view body)
{
    try {
        return JobId(json::parse(body).at("id").get<std::string>());
    } catch (const std::exception &exception) {
        return invalid(exception.what());
    }
}

const char *stateOf(const Job &job) noexcept
{
    switch (job.accepted.outcome) {
    case JobOutcome::Succeeded:
        return "succeeded";
    case JobOutcome::Failed:
        return "failed";
    case JobOutcome::Cancelled:
        return "cancelled";
    case JobOutcome::None:
        break;
    }
    if (job.accepted.cancelled)
        return "cancelled";
    return job.everStarted ? "running" : "queued";
}

std::string statusJson(const Job &job, TimePoint now)
{
    json document = summary(job, now);
    json tasks = json::array();
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        const Task &task = job.tasks[index];
        tasks.push_back({ { "index", index },
                          { "state", phaseName(task.phase) },
                          { "attempt", task.attempt.value() },
                          { "worker", task.worker.value() } });
    }
    document["tasks"] = std::move(tasks);
    return serialize(document);
}

std::string jobsJson(const std::map<JobId, Job> &jobs, TimePoint now)
{
    json list = json::array();
    for (const auto &[id, job] : jobs)
        list.push_back(summary(job, now));
    return serialize({ { "jobs", std::move(list) } });
}

std::string workersJson(const WorkerLedger &ledger, const Context &context)
{
    json list = json::array();
    for (const auto &[name, worker] : ledger.workers()) {
        const char *state = "usable";
        if (worker.vm.leaving)
            state = "leaving";
        else if (worker.unreachable > 0)
            state = "unreachable";
        else if (!worker.reported)
            state = "unknown";
        else if (ledger.ejection().ejected(name, context.now))
            state = "ejected";
        list.push_back({ { "worker", name.value() },
                         { "partition", worker.partition.value() },
                         { "capacity", resourcesJson(worker.capacity) },
                         { "held", resourcesJson(worker.allocated) },
                         { "state", state },
                         { "tasks", worker.attempts.size() } });
    }
    return serialize({ { "workers", std::move(list) } });
}

std::string stateJson(const JobId &id, const char *state)
{
    return serialize({ { "id", id.value() }, { "state", state } });
}

std::string errorJson(const std::string &error, const std::vector<std::string> &reasons)
{
    json document{ { "error", error } };
    if (!reasons.empty())
        document["reasons"] = reasons;
    return serialize(document);
}

std::string retryJson(const std::string &error, Duration retryAfter)
{
    return serialize(
        { { "error", error },
          { "retryAfterMs",
            std::chrono::duration_cast<std::chrono::milliseconds>(retryAfter).count() } });
}

} // namespace cowsliprock::scheduling
