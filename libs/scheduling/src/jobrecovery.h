#pragma once

#include "homestate.h"
#include "taskrunner.h"

#include <map>
#include <string>
#include <vector>

namespace cowsliprock::scheduling {

/// Restores the jobs of an acquired partition from their rows in the store, the journal entries of
/// earlier homes and the running tasks reported by owners.
class JobRecovery
{
public:
    JobRecovery(HomeState &state, TaskRunner &tasks)
        : m_state(state)
        , m_tasks(tasks)
    { }

    void acquired(const event::PartitionAcquired &acquired);
    void lost(const PartitionId &partition) { m_partitions.erase(partition); }

    /// Handles replies to list calls. Returns false for any other reply.
    [[nodiscard]] bool handle(const event::StoreReply &reply);
    void tick();

private:
    struct Inherited
    {
        std::vector<InheritedAttempt> open; ///< Attempts with an intent entry but no end entry.
        bool succeeded = false;
    };
    struct Progress
    {
        std::map<std::string, Inherited> tasks; ///< Keyed by "<job>/<index>".
        TimePoint listAt;
        bool listing = false;
        bool loaded = false;
    };

    void list(const PartitionId &partition, Progress &progress);
    void load(const PartitionId &partition, Progress &progress,
              const std::vector<event::StoreRow> &rows);
    void loadRow(const PartitionId &partition, const Progress &progress,
                 const event::StoreRow &row);
    void recoverTask(TaskReference reference, const Progress &progress);
    void replayEarlyMessages();

    HomeState &m_state;
    TaskRunner &m_tasks;
    std::map<PartitionId, Progress> m_partitions;
    std::map<CallId, PartitionId> m_calls;
    std::uint64_t m_nextCall = 0;
};

} // namespace cowsliprock::scheduling
