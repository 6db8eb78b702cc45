#pragma once

#include <base/id.h>
#include <base/resources.h>
#include <kernel/configurationmodel.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>

namespace cowsliprock {

class CapacityIndex;

/// Resources and policy of one placement decision.
struct PlacementRequest
{
    Resources amount;
    PolicyDefinition policy;
};

/// Free capacity of one schedulable worker.
struct Candidate
{
    WorkerName worker;
    Resources capacity;
    Resources free;
    std::uint32_t starting = 0; ///< Number of task starts in progress.
};

/// Selects a worker for a task. Implementations are stateless.
class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;

    /// Returns a worker with enough free capacity for the request, or nothing.
    /// Adds the number of candidates examined to \p examined.
    [[nodiscard]] virtual std::optional<WorkerName> choose(const PlacementRequest &request,
                                                           const CapacityIndex &index,
                                                           std::mt19937_64 &random,
                                                           std::uint64_t &examined) const = 0;
};

using PolicyFactory = std::function<std::unique_ptr<PlacementPolicy>()>;

/// Registry of placement policies by name.
class PolicyRegistry
{
public:
    static PolicyRegistry &instance();
    void add(std::string name, const PolicyFactory &factory);

    /// Returns null if no policy has this name.
    [[nodiscard]] const PlacementPolicy *find(const std::string &name) const;

private:
    std::map<std::string, std::unique_ptr<PlacementPolicy>> m_policies;
};

/// Registers a policy during static initialization:
/// `const PolicyRegistrar registrar("packing", factory);`
class PolicyRegistrar
{
public:
    PolicyRegistrar(std::string name, const PolicyFactory &factory)
    {
        PolicyRegistry::instance().add(std::move(name), factory);
    }
};

} // namespace cowsliprock
