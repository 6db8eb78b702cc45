#pragma once

#include "context.h"

#include <kernel/events.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cowsliprock::requests {

/// This daemon's own state for one service, which is exact.
struct OwnLoad
{
    bool offers = false;
    std::uint32_t freeSlots = 0;
    std::uint32_t waiting = 0;
};

/// Chooses the owner that is asked to serve a request, by power of two choices.
class OwnerChoice
{
public:
    explicit OwnerChoice(Context &context);

    void update(const event::PeerStatus &status);

    /// \p excluded names owners that refused the request. Returns nothing if none is left.
    [[nodiscard]] std::optional<DaemonIdentity> choose(const std::string &service,
                                                       const OwnLoad &own, Duration timeLeft,
                                                       const std::set<DaemonName> &excluded);

private:
    struct Peer
    {
        DaemonIdentity identity;
        std::string region;
        LoadSummary load;
        std::map<std::string, std::uint32_t> sent; ///< By service, since the load was reported.
    };

    struct Candidate
    {
        DaemonIdentity identity;
        bool sameRegion = true;
        std::uint32_t freeSlots = 0;
        std::uint32_t waiting = 0;
    };

    using Candidates = std::vector<Candidate>;

    [[nodiscard]] Candidates candidates(const std::string &service, const OwnLoad &own,
                                        const std::set<DaemonName> &excluded) const;
    [[nodiscard]] static Candidates nearest(const Candidates &all, bool farAllowed);
    [[nodiscard]] std::size_t sample(const Candidates &group, std::size_t without);
    [[nodiscard]] const Candidate &better(const Candidate &first, const Candidate &second) const;

    Context &m_context;
    std::map<DaemonName, Peer> m_peers; ///< Alive and not draining.
};

} // namespace cowsliprock::requests
