#pragma once

#include <base/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace cowsliprock::cell {

/// Number of workers that a new owner must fence before it uses any. At least one of them is among
/// those that must obey an owner whose ownership is extended by promises.
[[nodiscard]] constexpr std::size_t fencingQuorum(std::size_t workers) noexcept
{
    return (workers + 1) / 2;
}

/// Number of workers that must obey an owner whose ownership is extended by promises.
[[nodiscard]] constexpr std::size_t extensionQuorum(std::size_t workers) noexcept
{
    return workers / 2 + 1;
}

/// Tracks which workers of the roster obey an owner. A worker that a newer owner has fenced does
/// not, unless it has restarted since; a new incarnation therefore counts only from a time at which
/// the store confirmed the ownership.
class WorkerQuorum
{
public:
    using Workers = std::set<std::string>;

    /// Called when a roster with these workers is about to be stored. Versions rise.
    void rosterWritten(std::uint64_t version, Workers workers);

    /// Called when the roster with this version, or a later one, has been stored.
    void rosterStored(std::uint64_t version);

    /// Called when a worker has accepted the owner's token in a request sent at \p requestedAt.
    /// \p confirmed tells whether the store confirms the ownership.
    void accepted(const std::string &worker, std::int64_t born, TimePoint requestedAt,
                  bool confirmed);

    /// Latest time at which a quorum of each roster that may be stored obeyed the owner; nothing if
    /// there was none.
    [[nodiscard]] std::optional<TimePoint> obeyedAt() const;

private:
    struct Acceptance
    {
        std::int64_t born = 0;
        TimePoint requestedAt{};
    };

    [[nodiscard]] std::optional<TimePoint> obeyedAt(const Workers &roster) const;

    std::map<std::uint64_t, Workers> m_rosters; ///< Rosters that may be stored, by version.
    std::unordered_map<std::string, Acceptance> m_acceptances;
};

} // namespace cowsliprock::cell
