#pragma once

#include "context.h"
#include "workerledger.h"

#include <vector>

namespace cowsliprock::scheduling {

/// Chooses the daemons that are asked for capacity.
class OwnerChoice
{
public:
    /// Owners asked in one round of a task.
    static constexpr std::size_t maximumOwners = 8;

    OwnerChoice(Context &context, const WorkerLedger &ledger)
        : m_context(context)
        , m_ledger(ledger)
    { }

    /// This daemon first, then peers whose last load summary had room, most free resources first;
    /// those of other regions last, unless the policy gives cross-region bytes no weight.
    /// \p anyLoad also takes owners without room, for urgent work that may displace tasks.
    [[nodiscard]] std::vector<DaemonName> forTask(const JobDefinition &definition, bool anyLoad);

    /// Owners with room for at least one task, in the order of their lowest partition.
    [[nodiscard]] std::vector<DaemonName> forGang(const JobDefinition &definition);

    /// About how many tasks the owner has room for.
    [[nodiscard]] std::int64_t roomFor(const DaemonName &owner, const Resources &perTask) const;

private:
    struct Entry
    {
        double score = 0;
        DaemonName name;
    };

    [[nodiscard]] std::vector<Entry> allowed(const JobDefinition &definition, bool anyLoad);
    [[nodiscard]] bool regionAllowed(const JobDefinition &definition,
                                     const std::string &region) const;

    Context &m_context;
    const WorkerLedger &m_ledger;
};

} // namespace cowsliprock::scheduling
