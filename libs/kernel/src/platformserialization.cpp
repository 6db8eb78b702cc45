#include <kernel/serialization.h>

#include "jsonmodel.h"

namespace cowsliprock {

namespace {

using nlohmann::json;

/// Parses \p text as JSON and applies \p decode to it; returns every exception as an error.
template <typename T, typename Decode>
[[nodiscard]] Result<T> decodeJson(const char *step, std::string_view text, Decode decode)
{
    try {
        return decode(json::parse(text));
    } catch (const std::exception &exception) {
        return Error{ ErrorKind::Invalid, step, {}, exception.what() };
    }
}

[[nodiscard]] std::string dump(const json &document)
{
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string encodeWorkerReport(const event::WorkerReport &report)
{
    return dump({ { "worker", report.worker },
                  { "capacity", report.capacity },
                  { "tasks", report.tasks },
                  { "endpoints", report.endpoints } });
}

Result<event::WorkerReport> decodeWorkerReport(std::string_view text)
{
    return decodeJson<event::WorkerReport>("worker.report", text, [](const json &document) {
        event::WorkerReport report;
        document.at("worker").get_to(report.worker);
        document.at("capacity").get_to(report.capacity);
        document.at("tasks").get_to(report.tasks);
        document.at("endpoints").get_to(report.endpoints);
        return report;
    });
}

std::string encodeTaskStart(const TaskStart &start)
{
    json document = start.launch;
    document["leaseMs"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(start.lease).count();
    return dump(document);
}

Result<TaskStart> decodeTaskStart(std::string_view text)
{
    return decodeJson<TaskStart>("task.start", text, [](const json &document) {
        return TaskStart{ document.get<TaskLaunch>(),
                          std::chrono::milliseconds(document.at("leaseMs").get<std::int64_t>()) };
    });
}

std::string encodeVm(const VmEntry &entry)
{
    return dump(entry);
}

Result<VmEntry> decodeVm(std::string_view text)
{
    return decodeJson<VmEntry>("vm.decode", text,
                               [](const json &document) { return document.get<VmEntry>(); });
}

std::string encodeVmList(const std::vector<VmEntry> &entries)
{
    return dump({ { "vms", entries } });
}

Result<std::vector<VmEntry>> decodeVmList(std::string_view text)
{
    return decodeJson<std::vector<VmEntry>>("vms.decode", text, [](const json &document) {
        return document.at("vms").get<std::vector<VmEntry>>();
    });
}

} // namespace cowsliprock
