#include <standincell/documents.h>

#include <nlohmann/json.hpp>

namespace cowsliprock::standincell {

using namespace cell;
using Json = nlohmann::json;

namespace {

double inMilliseconds(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

Json toJson(const QueueSettings &queue)
{
    Json route{ { "name", queue.name },
                { "host", queue.host },
                { "prefix", queue.prefix },
                { "service", queue.service },
                { "priority", queue.priority },
                { "max_attempts", queue.maxAttempts },
                { "extension", queue.extension },
                { "target_runtime_ms", inMilliseconds(queue.targetRuntime) },
                { "timeout_ms", inMilliseconds(queue.timeout) } };
    if (queue.advice) {
        route["advice"] = { { "decision_ms", inMilliseconds(queue.advice->decision) },
                            { "period_ms", inMilliseconds(queue.advice->perWorker) },
                            { "validity_ms", inMilliseconds(queue.advice->validity) } };
    }
    if (queue.anonymous)
        route["anonymous"] = true;
    return route;
}

Json toJson(const Resources &amount)
{
    return { { "cpu", amount.cpuMillis },
             { "mem_mb", amount.memoryMb },
             { "gpu", amount.accelerators } };
}

Json toJson(const CustomerPlan &customer)
{
    return { { "name", customer.settings.name },
             { "api_keys", customer.apiKeys },
             { "weight", customer.settings.weight },
             { "max_count", toJson(customer.settings.quota) },
             { "priority", 0 } };
}

} // namespace

const char *const configurationKey = "op/config";
const char *const ownerKey = "cowsliprock/node/owner/0";

std::string workerKey(const std::string &worker)
{
    return "servers/" + worker;
}

/// Time that a draining worker announces before it leaves.
constexpr std::chrono::milliseconds drainNoticeTime{ 1500 };

std::string workerDocument(const WorkerModel &worker, const std::string &address, bool draining,
                           const std::string &kind)
{
    return Json{
        { "service", "s" },
        { "address", address },
        { "zone", "z" },
        { "version", "v1" },
        { "slots", 8 },
        { "state", draining ? "draining" : "ready" },
        { "cold_remaining_ms", 0 },
        { "remaining_ms", draining ? drainNoticeTime.count() : 0 },
        { "capacity", toJson(worker.capacity()) },
        { "labels", { kind, "r1" } },
        { "born", worker.born() }
    }.dump();
}

std::string configurationDocument(std::uint64_t version, const std::vector<QueueSettings> &queues,
                                  const std::vector<CustomerPlan> &customers)
{
    Json routes = Json::array();
    for (const auto &queue : queues)
        routes.push_back(toJson(queue));
    Json document{ { "version", version },
                   { "routes", std::move(routes) },
                   { "services", Json::array() } };
    for (const auto &customer : customers)
        document["tenants"].push_back(toJson(customer));
    return document.dump();
}

std::string ownerName(const std::string &value)
{
    const Json json = Json::parse(value, nullptr, false);
    return json.is_object() ? json.value("name", "") : std::string();
}

} // namespace cowsliprock::standincell
