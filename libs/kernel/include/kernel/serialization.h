#pragma once

#include <base/error.h>
#include <kernel/events.h>
#include <kernel/effects.h>
#include <kernel/settings.h>

#include <string>
#include <string_view>
#include <vector>

namespace cowsliprock {

/// Version of the protocol between daemons. A daemon drops messages of any other version.
inline constexpr int protocolVersion = 1;

/// A message with its sender.
struct Envelope
{
    DaemonIdentity from;
    Message message;
};

/// Encodes a message between daemons as MessagePack.
[[nodiscard]] std::string encodeMessage(const Envelope &envelope);

/// Fails with ErrorKind::Invalid if the bytes are malformed or of another protocol version.
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

/// Returns an effect as JSON, for comparison in replays.
[[nodiscard]] std::string describeEffect(const Effect &effect);

/// JSON form in which accepted jobs are kept in the store.
[[nodiscard]] std::string encodeJob(const AcceptedJob &job);
[[nodiscard]] Result<AcceptedJob> decodeJob(std::string_view text);

/// JSON texts that daemons exchange with workers and the platform (docs/api.md, sections 3 and 4).
/// The decoders fail with ErrorKind::Invalid when a member is missing.

/// Report of a worker, without askedAt.
[[nodiscard]] std::string encodeWorkerReport(const event::WorkerReport &report);
[[nodiscard]] Result<event::WorkerReport> decodeWorkerReport(std::string_view text);

/// Parameters of a task start, encoded as a TaskLaunch with the additional member leaseMs.
struct TaskStart
{
    TaskLaunch launch;
    Duration lease{ 0 };
};

[[nodiscard]] std::string encodeTaskStart(const TaskStart &start);
[[nodiscard]] Result<TaskStart> decodeTaskStart(std::string_view text);

[[nodiscard]] std::string encodeVm(const VmEntry &entry);
[[nodiscard]] Result<VmEntry> decodeVm(std::string_view text);

/// The list is the member vms of an object.
[[nodiscard]] std::string encodeVmList(const std::vector<VmEntry> &entries);
[[nodiscard]] Result<std::vector<VmEntry>> decodeVmList(std::string_view text);

} // namespace cowsliprock
