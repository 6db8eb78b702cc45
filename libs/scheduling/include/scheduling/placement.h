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

/// What a placement needs.
struct PlacementRequest
{
    Resources amount;
    PolicyDefinition policy;
};

/// Free capacity of one worker that may get new tasks.
struct Candidate
{
    WorkerName worker;
    Resources capacity;
    Resources free;
    std::uint32_t starting = 0; ///< Starts in progress.
};

/// Chooses a worker for a task. Policies hold no state.
class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;

    /// Returns a worker whose free capacity holds the request, or nothing.
    /// \p examined is raised by the number of candidates looked at.
    [[nodiscard]] virtual std::optional<WorkerName> choose(const PlacementRequest &request,
                                                           const CapacityIndex &index,
                                                           std::mt19937_64 &random,
                                                           std::uint64_t &examined) const = 0;
};

using PolicyFactory = std::function<std::unique_ptr<PlacementPolicy>()>;

/// Placement policies that registered themselves, by name.
class PolicyRegistry
{
public:
    static PolicyRegistry &instance();
    void add(std::string name, const PolicyFactory &factory);

    /// Null if no policy has this name.
    [[nodiscard]] const PlacementPolicy *find(const std::string &name) const;

private:
    std::map<std::string, std::unique_ptr<PlacementPolicy>> m_policies;
};

/// Registers a policy at program start: `const PolicyRegistrar registrar("packing", factory);`
class PolicyRegistrar
{
public:
    PolicyRegistrar(std::string name, const PolicyFactory &factory)
    {
        PolicyRegistry::instance().add(std::move(name), factory);
    }
};

} // namespace cowsliprock
