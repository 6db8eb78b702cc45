#pragma once

#include "context.h"

#include <kernel/events.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cowsliprock::requests {

/// Locates the home of a request identity. Daemons with the same settings and configuration compute
/// the same partition.
class HomeLocator
{
public:
    explicit HomeLocator(Context &context);

    [[nodiscard]] static std::string identityOf(const RequestProfile &profile)
    {
        return profile.caller + "/" + profile.idempotencyKey;
    }

    [[nodiscard]] PartitionId partition(const RequestProfile &profile) const;
    [[nodiscard]] std::optional<DaemonIdentity> home(const PartitionId &partition) const;
    void ownersChanged(const event::OwnersChanged &changed) { m_owners = changed.owners; }

private:
    Context &m_context;
    std::map<std::string, std::vector<std::string>> m_dataCentres; ///< Keyed by region; sorted.
    std::vector<std::string> m_allDataCentres;                     ///< Sorted.
    std::map<PartitionId, DaemonIdentity> m_owners;
};

} // namespace cowsliprock::requests
