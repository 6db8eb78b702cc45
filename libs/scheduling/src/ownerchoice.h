#pragma once

#include "context.h"
#include "workerledger.h"

#include <vector>

namespace cowsliprock::scheduling {

/// Selects the owners from which capacity is requested.
class OwnerChoice
{
public:
    /// Maximum number of owners asked in one round of a task.
    static constexpr std::size_t maximumOwners = 8;

    OwnerChoice(Context &context, const WorkerLedger &ledger)
        : m_context(context)
        , m_ledger(ledger)
    { }

    /// Returns this daemon first, then the peers whose last load summary had enough capacity,
    /// ordered by free resources. Peers in other regions come last unless the policy's cross-region
    /// weight is zero. \p ignoreLoad includes owners without free capacity, for urgent work that
    /// may preempt tasks.
    [[nodiscard]] std::vector<DaemonName> ownersForTask(const JobDefinition &definition,
                                                        bool ignoreLoad);

    /// Returns the owners with capacity for at least one task, ordered by their lowest partition.
    [[nodiscard]] std::vector<DaemonName> ownersForGang(const JobDefinition &definition);

    /// Returns an estimate of the number of tasks for which the owner has capacity.
    [[nodiscard]] std::int64_t taskCapacityOf(const DaemonName &owner,
                                              const Resources &perTask) const;

private:
    struct Entry
    {
        double score = 0;
        DaemonName name;
    };

    [[nodiscard]] std::vector<Entry> allowed(const JobDefinition &definition, bool ignoreLoad);
    [[nodiscard]] bool regionAllowed(const JobDefinition &definition,
                                     const std::string &region) const;

    Context &m_context;
    const WorkerLedger &m_ledger;
};

} // namespace cowsliprock::scheduling
