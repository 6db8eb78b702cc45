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

/// State shared by the components of the stage: settings, time and output of the current event,
/// and the known owners, peers and configuration.
class Context
{
public:
    explicit Context(const KernelSettings &kernelSettings);

    Context(const Context &) = delete;
    Context &operator=(const Context &) = delete;

    /// Updates the shared state from an event. Must be called before the components handle the
    /// event.
    void handle(const Event &event);

    /// True while this daemon may act as an owner or a home.
    [[nodiscard]] bool valid() const noexcept { return now < validUntil; }
    [[nodiscard]] bool usable(const PartitionId &partition) const;
    [[nodiscard]] bool owns(const PartitionId &partition) const
    {
        return owned.contains(partition);
    }

    /// Returns the owner of a partition, if known.
    [[nodiscard]] std::optional<DaemonIdentity> ownerOf(const PartitionId &partition) const;

    /// Returns the partition of a worker that is in the VM list.
    [[nodiscard]] std::optional<PartitionId> partitionOfWorker(const WorkerName &worker) const;

    /// True if the worker's VM existed at \p existedAt and has ended since: it was removed from the
    /// VM list, or it is missing from a list that is newer than \p existedAt by more than the
    /// list's maximum lag.
    [[nodiscard]] bool vmEnded(const WorkerName &worker, TimePoint existedAt) const;

    /// Returns the configured data centres of a region in sorted order.
    [[nodiscard]] std::vector<std::string> dataCentres(std::string_view region) const;
    [[nodiscard]] std::string regionOf(const DaemonName &daemon) const;

    /// Returns the named policy of the configuration, or nothing if it is unknown. An empty name
    /// selects the default policy.
    [[nodiscard]] std::optional<PolicyDefinition> policy(const std::string &name) const;

    /// Sends a message. Messages to this daemon are handled after the current event.
    void send(const DaemonName &to, Message message);
    void perform(Effect effect) { output->perform(std::move(effect)); }

    /// Returns a uniformly distributed duration in the closed interval [low, high].
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
    TimePoint vmListAt; ///< Arrival time of the last VM list.
    std::set<WorkerName>
        endedWorkers; ///< Workers in an earlier VM list but not in the current one.
    std::deque<Message> localMessages;

private:
    void handleVmList(const event::VmList &list);
};

/// Identifier of an attempt: "<job>/<index>/<epoch>.<number>/<partition of the home>". The
/// ownership epoch of the home makes the attempts of successive homes distinct.
struct AttemptName
{
    JobId job;
    std::uint32_t index = 0;
    PartitionId home;

    [[nodiscard]] static AttemptId make(const JobId &job, std::uint32_t index, std::uint64_t epoch,
                                        std::uint64_t number, const PartitionId &home);
    [[nodiscard]] static std::optional<AttemptName> parse(const AttemptId &attempt);
};

/// Maximum time between an effect being requested and its bytes being sent. Bounds the latest time
/// at which a call can take effect.
inline constexpr Duration sendLimit = std::chrono::seconds(2);

/// Upper bound on the age of the data in a VM list. The list is read every 2 s.
inline constexpr Duration vmListLag = std::chrono::seconds(60);

/// Allowance for clock drift when the expiry of a task lease is taken as proof that the task has
/// ended.
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

/// True if a task in this state uses resources of its worker.
[[nodiscard]] constexpr bool isLive(TaskState state) noexcept
{
    return state == TaskState::Starting || state == TaskState::Running
        || state == TaskState::Throttled;
}

} // namespace cowsliprock::scheduling
