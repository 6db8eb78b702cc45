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

/// A request that an owner accepted.
struct OwnedRequest
{
    AttemptId attempt;
    RequestProfile profile;
    BodyKey body;
    std::optional<DaemonIdentity> from; ///< Nothing if this daemon asked.
    TimePoint arrived;
    TimePoint deadline;
    TimePoint called;
    std::uint64_t sequence = 0;
    std::uint32_t calls = 0;
};

/// Waiting requests of one service in the order priority class, deadline, arrival.
class WaitingQueue
{
public:
    void add(OwnedRequest request);
    [[nodiscard]] OwnedRequest takeFirst();
    [[nodiscard]] OwnedRequest takeLast();
    [[nodiscard]] bool empty() const noexcept { return m_requests.empty(); }
    [[nodiscard]] std::size_t size() const noexcept { return m_requests.size(); }

    /// Number of waiting requests that go before this one.
    [[nodiscard]] std::size_t ahead(const OwnedRequest &request) const;

    /// Removes, in order, the requests for which \p refused is true; it gets the number of
    /// remaining requests ahead.
    [[nodiscard]] std::vector<OwnedRequest>
    takeIf(const std::function<bool(const OwnedRequest &, std::size_t)> &refused);

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
