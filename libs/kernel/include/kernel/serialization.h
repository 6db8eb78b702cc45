#pragma once

#include <base/error.h>
#include <kernel/events.h>
#include <kernel/effects.h>
#include <kernel/settings.h>

#include <string>
#include <string_view>
#include <vector>

namespace cowsliprock {

/// Version of the messages between daemons. A daemon drops messages of another version.
inline constexpr int protocolVersion = 1;

struct Envelope
{
    DaemonIdentity from;
    Message message;
};

/// MessagePack form of a message between daemons.
[[nodiscard]] std::string encodeMessage(const Envelope &envelope);

/// Fails with ErrorKind::Invalid on malformed bytes or another version.
[[nodiscard]] Result<Envelope> decodeMessage(std::string_view bytes);

/// One line of a trace: {"at":<microseconds>,"event":"<name>","data":{...}}.
/// Events raised by stages are not part of a trace.
struct TraceLine
{
    TimePoint at;
    Event event;
};

[[nodiscard]] std::string encodeTraceLine(const TraceLine &line);
[[nodiscard]] Result<TraceLine> decodeTraceLine(std::string_view text);

/// First line of a trace: the settings of the kernel that recorded it.
[[nodiscard]] std::string encodeSettings(const KernelSettings &settings);
[[nodiscard]] Result<KernelSettings> decodeSettings(std::string_view text);

/// JSON text of an effect, for comparison in replays.
[[nodiscard]] std::string describeEffect(const Effect &effect);

/// JSON texts of parts of the model that the store keeps.
[[nodiscard]] std::string encodeJob(const AcceptedJob &job);
[[nodiscard]] Result<AcceptedJob> decodeJob(std::string_view text);

/// JSON texts that workers and the platform exchange with daemons (docs/api.md, sections 3 and 4).
/// The decoders fail with ErrorKind::Invalid when a member is missing.

/// The report of a worker; askedAt is not part of the text.
[[nodiscard]] std::string encodeWorkerReport(const event::WorkerReport &report);
[[nodiscard]] Result<event::WorkerReport> decodeWorkerReport(std::string_view text);

/// A TaskLaunch with the member leaseMs.
struct TaskStart
{
    TaskLaunch launch;
    Duration lease{ 0 };
};

[[nodiscard]] std::string encodeTaskStart(const TaskStart &start);
[[nodiscard]] Result<TaskStart> decodeTaskStart(std::string_view text);

[[nodiscard]] std::string encodeVm(const VmEntry &entry);
[[nodiscard]] Result<VmEntry> decodeVm(std::string_view text);

/// An object whose member vms holds the list.
[[nodiscard]] std::string encodeVmList(const std::vector<VmEntry> &entries);
[[nodiscard]] Result<std::vector<VmEntry>> decodeVmList(std::string_view text);

} // namespace cowsliprock
