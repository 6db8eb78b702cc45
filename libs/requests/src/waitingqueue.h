#pragma once

#include <kernel/identity.h>
#include <kernel/model.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cowsliprock::requests {

/// A request accepted by an owner.
struct OwnedRequest
{
    AttemptId attempt;
    RequestProfile profile;
    BodyKey body;
    std::optional<DaemonIdentity> from; ///< Unset if dispatched by this daemon.
    TimePoint arrived;
    TimePoint deadline;
    TimePoint calledAt;
    std::uint64_t sequence = 0;
    std::uint32_t calls = 0;
};

/// Queue of waiting requests of one service, ordered by priority class, deadline and arrival.
class WaitingQueue
{
public:
    void add(OwnedRequest request);
    [[nodiscard]] OwnedRequest popFirst();
    [[nodiscard]] OwnedRequest popLast();
    [[nodiscard]] bool empty() const noexcept { return m_requests.empty(); }
    [[nodiscard]] std::size_t size() const noexcept { return m_requests.size(); }

    /// Number of waiting requests ahead of this one.
    [[nodiscard]] std::size_t ahead(const OwnedRequest &request) const;

    /// Removes and returns, in order, the requests for which \p predicate is true. Its second
    /// argument is the number of requests that remain ahead.
    [[nodiscard]] std::vector<OwnedRequest>
    extractIf(const std::function<bool(const OwnedRequest &, std::size_t)> &predicate);

private:
    struct Rank
    {
        Priority priority;
        TimePoint deadline;
        std::uint64_t sequence;

        auto operator<=>(const Rank &) const = default;
    };

    [[nodiscard]] static Rank rankOf(const OwnedRequest &request) noexcept
    {
        return { request.profile.priority, request.deadline, request.sequence };
    }

    std::map<Rank, OwnedRequest> m_requests;
};

} // namespace cowsliprock::requests
