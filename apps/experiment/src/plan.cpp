#include <experiment/plan.h>

#include "planschema.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace cowsliprock::experiment {

namespace {

using Json = nlohmann::ordered_json;
using std::chrono::milliseconds;

struct TroubleName
{
    TroubleKind kind;
    const char *name;
};

constexpr std::array troubleNames{
    TroubleName{ TroubleKind::DaemonKilled, "daemonKilled" },
    TroubleName{ TroubleKind::OwnerKilled, "ownerKilled" },
    TroubleName{ TroubleKind::AllDaemonsKilled, "allDaemonsKilled" },
    TroubleName{ TroubleKind::DaemonPaused, "daemonPaused" },
    TroubleName{ TroubleKind::OwnerPaused, "ownerPaused" },
    TroubleName{ TroubleKind::DaemonStopped, "daemonStopped" },
    TroubleName{ TroubleKind::OwnerStopped, "ownerStopped" },
    TroubleName{ TroubleKind::SettingsReload, "settingsReload" },
    TroubleName{ TroubleKind::StoreRefuses, "storeRefuses" },
    TroubleName{ TroubleKind::StoreSilent, "storeSilent" },
    TroubleName{ TroubleKind::StoreCutForOne, "storeCutForOne" },
    TroubleName{ TroubleKind::StoreCutForOwner, "storeCutForOwner" },
    TroubleName{ TroubleKind::StoreSlow, "storeSlow" },
    TroubleName{ TroubleKind::StoreLosesAnswers, "storeLosesAnswers" },
    TroubleName{ TroubleKind::StoreWritesLate, "storeWritesLate" },
    TroubleName{ TroubleKind::StoreForgets, "storeForgets" },
    TroubleName{ TroubleKind::WorkerCrashed, "workerCrashed" },
    TroubleName{ TroubleKind::WorkerSilent, "workerSilent" },
    TroubleName{ TroubleKind::WorkerOrdersLate, "workerOrdersLate" },
    TroubleName{ TroubleKind::WorkerLosesAnswers, "workerLosesAnswers" },
    TroubleName{ TroubleKind::WorkerRefuses, "workerRefuses" },
    TroubleName{ TroubleKind::WorkerLeaves, "workerLeaves" },
    TroubleName{ TroubleKind::ConfigurationChanged, "configurationChanged" },
    TroubleName{ TroubleKind::LinksReset, "linksReset" },
    TroubleName{ TroubleKind::LinksSilenced, "linksSilenced" },
    TroubleName{ TroubleKind::LinksDelayed, "linksDelayed" },
    TroubleName{ TroubleKind::LinkCutOneWay, "linkCutOneWay" },
};

TroubleKind troubleKind(const std::string &name)
{
    // The schema admits no other names.
    const auto entry = std::find_if(troubleNames.begin(), troubleNames.end(),
                                    [&name](const auto &one) { return one.name == name; });
    return entry == troubleNames.end() ? TroubleKind::DaemonKilled : entry->kind;
}

std::int64_t inMilliseconds(Duration time)
{
    return std::chrono::duration_cast<milliseconds>(time).count();
}

Duration time(const Json &json, const char *name, Duration fallback)
{
    return milliseconds(json.value(name, inMilliseconds(fallback)));
}

Resources resources(const Json &json, const char *name, const Resources &fallback)
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
    kind.amount = resources(json, "amount", kind.amount);
    kind.work = time(json, "workMs", milliseconds(500));
    kind.gangShare = json.value("gangShare", kind.gangShare);
    kind.failingShare = json.value("failingShare", kind.failingShare);
    kind.cancelShare = json.value("cancelShare", kind.cancelShare);
    kind.repeatShare = json.value("repeatShare", kind.repeatShare);
    kind.adviceTime = time(json, "adviceMs", kind.adviceTime);
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

Trouble toTrouble(const Json &json)
{
    return { troubleKind(json.at("kind")), time(json, "atMs", {}), time(json, "forMs", {}),
             json.value("target", 0U) };
}

Json toJson(const Trouble &trouble)
{
    return { { "kind", toString(trouble.kind) },
             { "atMs", inMilliseconds(trouble.at) },
             { "forMs", inMilliseconds(trouble.time) },
             { "target", trouble.target } };
}

} // namespace

const char *toString(TroubleKind kind) noexcept
{
    const auto *const entry = std::find_if(troubleNames.begin(), troubleNames.end(),
                                           [kind](const auto &one) { return one.kind == kind; });
    return entry == troubleNames.end() ? "unknown" : entry->name;
}

std::variant<Plan, std::vector<DocumentError>> parsePlan(std::string_view text)
{
    nlohmann::json document;
    if (auto faults = parseDocument(text, {}, document); !faults.empty())
        return faults;
    if (auto faults = checkSchema(document, planSchema()); !faults.empty())
        return faults;
    const Json json = document;
    Plan plan;
    plan.seed = json.value("seed", plan.seed);
    plan.daemons = json.value("daemons", plan.daemons);
    plan.workers = json.value("workers", plan.workers);
    plan.workerCapacity = resources(json, "workerCapacity", plan.workerCapacity);
    plan.storeDelay = time(json, "storeDelayMs", plan.storeDelay);
    plan.length = time(json, "lengthMs", plan.length);
    plan.settle = time(json, "settleMs", plan.settle);
    for (const auto &kind : json.at("kinds"))
        plan.kinds.push_back(toKind(kind));
    for (const auto &trouble : json.value("troubles", Json::array()))
        plan.troubles.push_back(toTrouble(trouble));
    return plan;
}

std::string formatPlan(const Plan &plan)
{
    Json kinds = Json::array();
    for (const auto &kind : plan.kinds)
        kinds.push_back(toJson(kind));
    Json troubles = Json::array();
    for (const auto &trouble : plan.troubles)
        troubles.push_back(toJson(trouble));
    const Json document{ { "seed", plan.seed },
                         { "daemons", plan.daemons },
                         { "workers", plan.workers },
                         { "workerCapacity", toJson(plan.workerCapacity) },
                         { "storeDelayMs", inMilliseconds(plan.storeDelay) },
                         { "lengthMs", inMilliseconds(plan.length) },
                         { "settleMs", inMilliseconds(plan.settle) },
                         { "kinds", std::move(kinds) },
                         { "troubles", std::move(troubles) } };
    return document.dump(2) + "\n";
}

} // namespace cowsliprock::experiment
