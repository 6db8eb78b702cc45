#include "records.h"

#include <base/readjson.h>

namespace cowsliprock::cell {

namespace {

/// Writes a member only if it differs from its default, to keep the records small.
template <typename T>
void put(Json &object, const char *key, const T &value)
{
    if (value != T{})
        object[key] = value;
}

Json resourcesToJson(const Resources &amount)
{
    return Json::array({ amount.cpuMillis, amount.memoryMb, amount.accelerators });
}

Resources resourcesFromJson(const Json &json)
{
    return { json.at(0).get<std::int64_t>(), json.at(1).get<std::int64_t>(),
             json.at(2).get<std::int64_t>() };
}

Json queueToJson(const QueueSettings &queue)
{
    Json json{
        { "name", queue.name },           { "host", queue.host },
        { "prefix", queue.prefix },       { "service", queue.service },
        { "priority", queue.priority },   { "maxAttempts", queue.maxAttempts },
        { "extension", queue.extension }, { "targetRuntimeUs", queue.targetRuntime.count() }
    };
    if (queue.advice) {
        json["advice"] =
            Json::array({ queue.advice->decision.count(), queue.advice->perWorker.count(),
                          queue.advice->validity.count() });
    }
    return json;
}

QueueSettings queueFromJson(const Json &json)
{
    QueueSettings queue;
    queue.name = json.at("name");
    queue.host = json.at("host");
    queue.prefix = json.at("prefix");
    queue.service = json.at("service");
    queue.priority = json.at("priority");
    queue.maxAttempts = json.at("maxAttempts");
    queue.extension = json.at("extension");
    queue.targetRuntime = Duration(json.at("targetRuntimeUs").get<std::int64_t>());
    if (const auto advice = json.find("advice"); advice != json.end()) {
        queue.advice = AdviceSettings{ Duration(advice->at(0).get<std::int64_t>()),
                                       Duration(advice->at(1).get<std::int64_t>()),
                                       Duration(advice->at(2).get<std::int64_t>()) };
    }
    return queue;
}

Json stepToJson(const StepSpec &step)
{
    Json json{ { "count", step.count },
               { "amount", resourcesToJson(step.amount) },
               { "estimateUs", step.estimate.count() } };
    put(json, "after", step.after);
    put(json, "checkpointing", step.checkpointing);
    put(json, "gang", step.gang);
    put(json, "sameRack", step.sameRack);
    put(json, "speculative", step.speculative);
    put(json, "longRunning", step.longRunning);
    put(json, "fills", step.bestEffort);
    put(json, "requiredLabel", step.requiredLabel);
    put(json, "preferredRack", step.preferredRack);
    put(json, "maxPerWorker", step.maxPerWorker);
    put(json, "maxUnavailable", step.maxUnavailable);
    put(json, "image", step.image);
    put(json, "targetLatencyUs", step.targetLatency.count());
    return json;
}

StepSpec stepFromJson(const Json &json)
{
    StepSpec step;
    step.count = json.at("count");
    step.amount = resourcesFromJson(json.at("amount"));
    step.estimate = Duration(json.at("estimateUs").get<std::int64_t>());
    step.after = json.value("after", step.after);
    step.checkpointing = json.value("checkpointing", false);
    step.gang = json.value("gang", false);
    step.sameRack = json.value("sameRack", false);
    step.speculative = json.value("speculative", false);
    step.longRunning = json.value("longRunning", false);
    step.bestEffort = json.value("fills", false);
    step.requiredLabel = json.value("requiredLabel", "");
    step.preferredRack = json.value("preferredRack", "");
    step.maxPerWorker = json.value("maxPerWorker", 0U);
    step.maxUnavailable = json.value("maxUnavailable", 0U);
    step.image = json.value("image", "");
    step.targetLatency = Duration(json.value("targetLatencyUs", std::int64_t{ 0 }));
    return step;
}

Json progressToJson(const StepProgress &step)
{
    std::string done;
    for (const bool bit : step.done)
        done += bit ? '1' : '0';
    Json json{ { "done", done } };
    if (!step.failures.empty()) {
        auto &list = json["failures"] = Json::array();
        for (const auto &failure : step.failures)
            list.push_back(Json::array({ failure.index, failure.runs }));
    }
    if (!step.crashes.empty()) {
        auto &list = json["crashes"] = Json::array();
        for (const auto &crashes : step.crashes)
            list.push_back(Json::array({ crashes.index, crashes.atStart, crashes.all }));
    }
    return json;
}

StepProgress progressFromJson(const Json &json)
{
    StepProgress step;
    for (const char digit : json.at("done").get<std::string>())
        step.done.push_back(digit == '1');
    if (const auto failures = json.find("failures"); failures != json.end()) {
        for (const auto &row : *failures) {
            step.failures.push_back(
                { row.at(0).get<std::uint32_t>(), row.at(1).get<std::vector<std::uint32_t>>() });
        }
    }
    if (const auto crashes = json.find("crashes"); crashes != json.end()) {
        for (const auto &row : *crashes)
            step.crashes.push_back({ row.at(0), row.at(1), row.at(2) });
    }
    return step;
}

} // namespace

std::string encode(const MemberRecord &record)
{
    return Json{
        { "name", record.name },
        { "incarnation", record.incarnation },
        { "address", record.address },
        { "dataCentre", record.dataCentre },
        { "weight", record.weight }
    }.dump();
}

std::string encode(const OwnerRecord &record)
{
    Json json{ { "name", record.name },
               { "incarnation", record.incarnation },
               { "address", record.address },
               { "generation", record.generation },
               { "weight", record.weight } };
    if (record.contested)
        json["contested"] = true;
    return json.dump();
}

std::string encode(const SuccessorsRecord &record)
{
    Json list = Json::array();
    for (const auto &successor : record.successors)
        list.push_back(Json::array({ successor.name, successor.address }));
    return Json{
        { "ownershipRevision", record.ownershipRevision }, { "successors", std::move(list) }
    }.dump();
}

std::string encode(const JobRecord &record)
{
    Json json{ { "id", record.id },
               { "queue", queueToJson(record.queue) },
               { "version", record.configurationVersion },
               { "spec", record.spec.spec } };
    auto &steps = json["steps"] = Json::array();
    for (const auto &step : record.spec.steps)
        steps.push_back(stepToJson(step));
    put(json, "repeat", record.spec.repeatCount);
    put(json, "firstStartMs", record.spec.firstStart.count());
    put(json, "intervalMs", record.spec.interval.count());
    put(json, "cancelled", record.cancelled);
    put(json, "customer", record.customer);
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string encode(const JobProgress &progress)
{
    Json json{ { "status", toString(progress.status) } };
    auto &occurrences = json["occurrences"] = Json::array();
    for (const auto &occurrence : progress.occurrences) {
        Json steps = Json::array();
        for (const auto &step : occurrence.steps)
            steps.push_back(progressToJson(step));
        occurrences.push_back(
            Json{ { "number", occurrence.number }, { "steps", std::move(steps) } });
    }
    return json.dump();
}

std::string encode(const std::vector<RosterEntry> &roster)
{
    Json list = Json::array();
    for (const auto &[worker, jobs] : roster) {
        Json row = Json::array({ worker.id, worker.address, worker.service });
        if (jobs)
            row.push_back(*jobs);
        list.push_back(std::move(row));
    }
    return Json{ { "workers", std::move(list) } }.dump();
}

std::optional<std::vector<RosterEntry>> decodeRoster(const std::string &text)
{
    return decodeJson(text, [](const Json &json) {
        constexpr std::size_t jobsColumn = 3;
        std::vector<RosterEntry> roster;
        for (const auto &row : json.at("workers")) {
            RosterEntry entry;
            entry.worker.id = row.at(0);
            entry.worker.address = row.at(1);
            entry.worker.service = row.at(2);
            if (row.size() > jobsColumn)
                entry.jobs = row.at(jobsColumn).get<std::set<std::string>>();
            roster.push_back(std::move(entry));
        }
        return roster;
    });
}

std::optional<MemberRecord> decodeMember(const std::string &text)
{
    return decodeJson(text, [](const Json &json) {
        MemberRecord record;
        record.name = json.at("name");
        record.incarnation = json.at("incarnation");
        record.address = json.at("address");
        record.dataCentre = json.at("dataCentre");
        record.weight = json.at("weight");
        return record;
    });
}

std::optional<OwnerRecord> decodeOwner(const std::string &text)
{
    return decodeJson(text, [](const Json &json) {
        OwnerRecord record;
        record.name = json.at("name");
        record.incarnation = json.at("incarnation");
        record.address = json.at("address");
        record.generation = json.at("generation");
        record.weight = json.value("weight", 0.0);
        record.contested = json.value("contested", false);
        return record;
    });
}

std::optional<SuccessorsRecord> decodeSuccessors(const std::string &text)
{
    return decodeJson(text, [](const Json &json) {
        SuccessorsRecord record;
        record.ownershipRevision = json.at("ownershipRevision");
        for (const auto &row : json.at("successors"))
            record.successors.push_back({ row.at(0), row.at(1) });
        return record;
    });
}

std::optional<JobRecord> decodeJob(const std::string &text)
{
    return decodeJson(text, [](const Json &json) {
        JobRecord record;
        record.id = json.at("id");
        record.queue = queueFromJson(json.at("queue"));
        record.configurationVersion = json.at("version");
        record.spec.spec = json.at("spec");
        for (const auto &step : json.at("steps"))
            record.spec.steps.push_back(stepFromJson(step));
        record.spec.repeatCount = json.value("repeat", 0U);
        record.spec.firstStart =
            std::chrono::milliseconds(json.value("firstStartMs", std::int64_t{ 0 }));
        record.spec.interval =
            std::chrono::milliseconds(json.value("intervalMs", std::int64_t{ 0 }));
        record.cancelled = json.value("cancelled", false);
        record.customer = json.value("customer", "");
        return record;
    });
}

std::optional<JobProgress> decodeProgress(const std::string &text)
{
    return decodeJson(text, [](const Json &json) {
        JobProgress progress;
        const auto status = parseJobStatus(json.at("status").get<std::string>());
        progress.status = status.value_or(JobStatus::Queued);
        for (const auto &row : json.at("occurrences")) {
            OccurrenceProgress occurrence;
            occurrence.number = row.at("number");
            for (const auto &step : row.at("steps"))
                occurrence.steps.push_back(progressFromJson(step));
            progress.occurrences.push_back(std::move(occurrence));
        }
        return progress;
    });
}

} // namespace cowsliprock::cell
