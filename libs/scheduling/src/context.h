#pragma once

#include <kernel/stage.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cowsliprock::scheduling {

/// A partition that this daemon owns.
struct OwnedPartition
{
    std::uint64_t epoch = 0;
    TimePoint usableFrom;
};

/// What the parts of the stage share: settings, the present event's time and output, and what is
/// known of owners, peers and the configuration.
class Context
{
public:
    explicit Context(const KernelSettings &kernelSettings);

    Context(const Context &) = delete;
    Context &operator=(const Context &) = delete;

    /// Follows the events that change what the parts share. Called before the parts see the event.
    void handle(const Event &event);

    /// Until when this daemon may act as an owner or a home.
    [[nodiscard]] bool valid() const noexcept { return now < validUntil; }
    [[nodiscard]] bool usable(const PartitionId &partition) const;
    [[nodiscard]] bool owns(const PartitionId &partition) const
    {
        return owned.contains(partition);
    }

    /// The daemon that owns a partition, as far as known.
    [[nodiscard]] std::optional<DaemonIdentity> ownerOf(const PartitionId &partition) const;

    /// Partition of a worker that the VM list has named.
    [[nodiscard]] std::optional<PartitionId> partitionOfWorker(const WorkerName &worker) const;

    /// True if the VM of a worker has ended that existed at a time: the VM list has named it before
    /// and does not any more, or a list that is newer by more than its lag does not name it.
    [[nodiscard]] bool vmEnded(const WorkerName &worker, TimePoint existedAt) const;

    /// Data centres of a region that the settings name, in order.
    [[nodiscard]] std::vector<std::string> dataCentres(std::string_view region) const;
    [[nodiscard]] std::string regionOf(const DaemonName &daemon) const;

    /// Named policy of the configuration; nothing if it is unknown.
    [[nodiscard]] std::optional<PolicyDefinition> policy(const std::string &name) const;

    /// Sends a message; one to this daemon is handled after the present event.
    void send(const DaemonName &to, Message message);
    void perform(Effect effect) { output->perform(std::move(effect)); }

    /// A random duration between two bounds.
    [[nodiscard]] Duration randomBetween(Duration low, Duration high);

    const KernelSettings settings;
    TimePoint now;
    Output *output = nullptr;
    std::mt19937_64 random;
    TimePoint startedAt;
    TimePoint validUntil;
    bool storeReachable = true;
    bool draining = false;
    ConfigurationPointer configuration;
    std::map<PartitionId, OwnedPartition> owned;
    std::map<PartitionId, DaemonIdentity> owners;
    std::map<DaemonName, event::PeerStatus> peers;
    std::map<WorkerName, VmEntry> workerVms;
    TimePoint vmListAt;                ///< When the last VM list arrived.
    std::set<WorkerName> endedWorkers; ///< Named by an earlier VM list, not by the present one.
    std::deque<Message> localMessages;

private:
    void handleVmList(const event::VmList &list);
};

/// Identifier of an attempt: "<job>/<index>/<epoch>.<number>/<partition of the home>". The epoch
/// of the home's ownership keeps attempts of successive homes apart.
struct AttemptName
{
    JobId job;
    std::uint32_t index = 0;
    PartitionId home;

    [[nodiscard]] static AttemptId make(const JobId &job, std::uint32_t index, std::uint64_t epoch,
                                        std::uint64_t number, const PartitionId &home);
    [[nodiscard]] static std::optional<AttemptName> parse(const AttemptId &attempt);
};

/// Limits how long an effect may wait before its bytes are sent, so that the time at which it can
/// take effect at the latest is known.
inline constexpr Duration sendLimit = std::chrono::seconds(2);

/// The VM list lags by less than this. It is read every 2 s.
inline constexpr Duration vmListLag = std::chrono::seconds(60);

/// Covers clock rates when the end of a task lease counts as proof that the task has ended.
inline constexpr Duration taskLeaseMargin = std::chrono::seconds(5);

[[nodiscard]] constexpr Resources componentMax(const Resources &left,
                                               const Resources &right) noexcept
{
    return { left.cpuMillis > right.cpuMillis ? left.cpuMillis : right.cpuMillis,
             left.memoryMb > right.memoryMb ? left.memoryMb : right.memoryMb,
             left.accelerators > right.accelerators ? left.accelerators : right.accelerators };
}

[[nodiscard]] constexpr Resources componentMin(const Resources &left,
                                               const Resources &right) noexcept
{
    return { left.cpuMillis < right.cpuMillis ? left.cpuMillis : right.cpuMillis,
             left.memoryMb < right.memoryMb ? left.memoryMb : right.memoryMb,
             left.accelerators < right.accelerators ? left.accelerators : right.accelerators };
}

/// True for a task that occupies its worker.
[[nodiscard]] constexpr bool isLive(TaskState state) noexcept
{
    return state == TaskState::Starting || state == TaskState::Running
        || state == TaskState::Throttled;
}

} // namespace cowsliprock::scheduling
