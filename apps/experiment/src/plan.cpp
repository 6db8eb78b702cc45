#include <experiment/plan.h>

#include "planschema.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace cowsliprock::experiment {

namespace {

using Json = nlohmann::ordered_json;
using std::chrono::milliseconds;

struct FaultName
{
    FaultKind kind;
    const char *name;
};

constexpr std::array faultNames{
    FaultName{ FaultKind::DaemonKilled, "daemonKilled" },
    FaultName{ FaultKind::OwnerKilled, "ownerKilled" },
    FaultName{ FaultKind::AllDaemonsKilled, "allDaemonsKilled" },
    FaultName{ FaultKind::DaemonPaused, "daemonPaused" },
    FaultName{ FaultKind::OwnerPaused, "ownerPaused" },
    FaultName{ FaultKind::DaemonStopped, "daemonStopped" },
    FaultName{ FaultKind::OwnerStopped, "ownerStopped" },
    FaultName{ FaultKind::SettingsReload, "settingsReload" },
    FaultName{ FaultKind::StoreRefuses, "storeRefuses" },
    FaultName{ FaultKind::StoreSilent, "storeSilent" },
    FaultName{ FaultKind::StoreCutForOne, "storeCutForOne" },
    FaultName{ FaultKind::StoreCutForOwner, "storeCutForOwner" },
    FaultName{ FaultKind::StoreSlow, "storeSlow" },
    FaultName{ FaultKind::StoreLosesAnswers, "storeLosesAnswers" },
    FaultName{ FaultKind::StoreWritesLate, "storeWritesLate" },
    FaultName{ FaultKind::StoreForgets, "storeForgets" },
    FaultName{ FaultKind::WorkerCrashed, "workerCrashed" },
    FaultName{ FaultKind::WorkerSilent, "workerSilent" },
    FaultName{ FaultKind::WorkerOrdersLate, "workerOrdersLate" },
    FaultName{ FaultKind::WorkerLosesAnswers, "workerLosesAnswers" },
    FaultName{ FaultKind::WorkerRefuses, "workerRefuses" },
    FaultName{ FaultKind::WorkerLeaves, "workerLeaves" },
    FaultName{ FaultKind::ConfigurationChanged, "configurationChanged" },
    FaultName{ FaultKind::LinksReset, "linksReset" },
    FaultName{ FaultKind::LinksSilenced, "linksSilenced" },
    FaultName{ FaultKind::LinksDelayed, "linksDelayed" },
    FaultName{ FaultKind::LinkCutOneWay, "linkCutOneWay" },
    FaultName{ FaultKind::OwnerPartitioned, "ownerPartitioned" },
    FaultName{ FaultKind::GroupPartitioned, "groupPartitioned" },
};

FaultKind faultKind(const std::string &name)
{
    // The schema rejects unknown names.
    const auto entry =
        std::find_if(faultNames.begin(), faultNames.end(),
                     [&name](const auto &candidate) { return candidate.name == name; });
    return entry == faultNames.end() ? FaultKind::DaemonKilled : entry->kind;
}

std::int64_t inMilliseconds(Duration time)
{
    return std::chrono::duration_cast<milliseconds>(time).count();
}

Duration readDuration(const Json &json, const char *name, Duration fallback)
{
    return milliseconds(json.value(name, inMilliseconds(fallback)));
}

Resources readResources(const Json &json, const char *name, const Resources &fallback)
{
    const auto entry = json.find(name);
    if (entry == json.end())
        return fallback;
    return { entry->value("cpuMillis", fallback.cpuMillis),
             entry->value("memoryMb", fallback.memoryMb),
             entry->value("accelerators", fallback.accelerators) };
}

Json toJson(const Resources &amount)
{
    return { { "cpuMillis", amount.cpuMillis },
             { "memoryMb", amount.memoryMb },
             { "accelerators", amount.accelerators } };
}

JobKind toKind(const Json &json)
{
    JobKind kind;
    kind.name = json.at("name");
    kind.perSecond = json.value("perSecond", kind.perSecond);
    kind.priority = json.value("priority", kind.priority);
    kind.maxAttempts = json.value("maxAttempts", kind.maxAttempts);
    kind.steps = json.value("steps", kind.steps);
    kind.tasks = json.value("tasks", kind.tasks);
    kind.amount = readResources(json, "amount", kind.amount);
    kind.work = readDuration(json, "workMs", milliseconds(500));
    kind.gangShare = json.value("gangShare", kind.gangShare);
    kind.failingShare = json.value("failingShare", kind.failingShare);
    kind.cancelShare = json.value("cancelShare", kind.cancelShare);
    kind.repeatShare = json.value("repeatShare", kind.repeatShare);
    kind.adviceTime = readDuration(json, "adviceMs", kind.adviceTime);
    return kind;
}

Json toJson(const JobKind &kind)
{
    return { { "name", kind.name },
             { "perSecond", kind.perSecond },
             { "priority", kind.priority },
             { "maxAttempts", kind.maxAttempts },
             { "steps", kind.steps },
             { "tasks", kind.tasks },
             { "amount", toJson(kind.amount) },
             { "workMs", inMilliseconds(kind.work) },
             { "gangShare", kind.gangShare },
             { "failingShare", kind.failingShare },
             { "cancelShare", kind.cancelShare },
             { "repeatShare", kind.repeatShare },
             { "adviceMs", inMilliseconds(kind.adviceTime) } };
}

Fault toFault(const Json &json)
{
    return { faultKind(json.at("kind")), readDuration(json, "atMs", {}),
             readDuration(json, "forMs", {}), json.value("target", 0U) };
}

Json toJson(const Fault &fault)
{
    return { { "kind", toString(fault.kind) },
             { "atMs", inMilliseconds(fault.at) },
             { "forMs", inMilliseconds(fault.duration) },
             { "target", fault.target } };
}

} // namespace

const char *toString(FaultKind kind) noexcept
{
    const auto *const entry =
        std::find_if(faultNames.begin(), faultNames.end(),
                     [kind](const auto &candidate) { return candidate.kind == kind; });
    return entry == faultNames.end() ? "unknown" : entry->name;
}

std::variant<Plan, std::vector<DocumentError>> parsePlan(std::string_view text)
{
    nlohmann::json document;
    if (auto errors = parseDocument(text, {}, document); !errors.empty())
        return errors;
    if (auto errors = checkSchema(document, planSchema()); !errors.empty())
        return errors;
    const Json json = document;
    Plan plan;
    plan.seed = json.value("seed", plan.seed);
    plan.daemons = json.value("daemons", plan.daemons);
    plan.workers = json.value("workers", plan.workers);
    plan.workerCapacity = readResources(json, "workerCapacity", plan.workerCapacity);
    plan.storeDelay = readDuration(json, "storeDelayMs", plan.storeDelay);
    plan.length = readDuration(json, "lengthMs", plan.length);
    plan.settle = readDuration(json, "settleMs", plan.settle);
    for (const auto &kind : json.at("kinds"))
        plan.kinds.push_back(toKind(kind));
    for (const auto &fault : json.value("troubles", Json::array()))
        plan.faults.push_back(toFault(fault));
    return plan;
}

std::string formatPlan(const Plan &plan)
{
    Json kinds = Json::array();
    for (const auto &kind : plan.kinds)
        kinds.push_back(toJson(kind));
    Json faults = Json::array();
    for (const auto &fault : plan.faults)
        faults.push_back(toJson(fault));
    const Json document{ { "seed", plan.seed },
                         { "daemons", plan.daemons },
                         { "workers", plan.workers },
                         { "workerCapacity", toJson(plan.workerCapacity) },
                         { "storeDelayMs", inMilliseconds(plan.storeDelay) },
                         { "lengthMs", inMilliseconds(plan.length) },
                         { "settleMs", inMilliseconds(plan.settle) },
                         { "kinds", std::move(kinds) },
                         { "troubles", std::move(faults) } };
    return document.dump(2) + "\n";
}

} // namespace cowsliprock::experiment
