#pragma once

#include "context.h"

#include <kernel/events.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cowsliprock::requests {

/// Load of this daemon for one service. Unlike the reported load of peers, it is exact.
struct LocalLoad
{
    bool hasEndpoints = false;
    std::uint32_t freeSlots = 0;
    std::uint32_t waiting = 0;
};

/// Selects the owner for a request by the power of two choices.
class OwnerChoice
{
public:
    explicit OwnerChoice(Context &context);

    void update(const event::PeerStatus &status);

    /// \p excluded lists the owners that refused the request. Returns nothing if none remains.
    [[nodiscard]] std::optional<DaemonIdentity> choose(const std::string &service,
                                                       const LocalLoad &local, Duration timeLeft,
                                                       const std::set<DaemonName> &excluded);

private:
    struct Peer
    {
        DaemonIdentity identity;
        std::string region;
        LoadSummary load;
        std::map<std::string, std::uint32_t> sent; ///< By service, since the last load report.
    };

    struct Candidate
    {
        DaemonIdentity identity;
        bool sameRegion = true;
        std::uint32_t freeSlots = 0;
        std::uint32_t waiting = 0;
    };

    using Candidates = std::vector<Candidate>;

    [[nodiscard]] Candidates candidates(const std::string &service, const LocalLoad &local,
                                        const std::set<DaemonName> &excluded) const;
    [[nodiscard]] static Candidates nearest(const Candidates &all, bool crossRegionAllowed);
    [[nodiscard]] std::size_t sample(const Candidates &group, std::size_t excludedIndex);
    [[nodiscard]] const Candidate &better(const Candidate &first, const Candidate &second) const;

    Context &m_context;
    std::map<DaemonName, Peer> m_peers; ///< Peers that are alive and not draining.
};

} // namespace cowsliprock::requests
