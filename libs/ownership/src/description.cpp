#include "ownershipstage.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cowsliprock::ownership {

namespace {

using nlohmann::json;

json partitionNames(const std::vector<PartitionId> &partitions)
{
    json names = json::array();
    for (const auto &partition : partitions)
        names.push_back(partition.value());
    return names;
}

} // namespace

std::string OwnershipStage::describe(TimePoint now) const
{
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_validUntil - now).count();
    json document = { { "self", m_shared.self.text() },
                      { "validForMs", std::max<std::int64_t>(0, left) },
                      { "storeReachable", m_lease.isStoreReachable() },
                      { "partitions", partitionNames(m_partitions.held()) },
                      { "peers", json::array() } };
    for (const auto &[name, peer] : m_peers.all()) {
        document["peers"].push_back({ { "name", name.value() },
                                      { "incarnation", peer.identity.incarnation },
                                      { "alive", peer.alive },
                                      { "configurationVersion", peer.configurationVersion } });
    }
    return document.dump();
}

std::string OwnershipStage::snapshot() const
{
    json successors = json::array();
    for (const auto &successor : m_lease.successors())
        successors.push_back(successor.text());
    const json document = { { "self", m_shared.self.text() },
                            { "recordVersion", m_lease.version() },
                            { "validUntil", m_validUntil.time_since_epoch().count() },
                            { "partitions", partitionNames(m_partitions.held()) },
                            { "successors", std::move(successors) },
                            { "draining", m_drainingSince.has_value() } };
    return document.dump();
}

} // namespace cowsliprock::ownership
