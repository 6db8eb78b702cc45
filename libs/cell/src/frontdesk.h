#pragma once

#include "membership.h"
#include "storerouter.h"
#include "submissions.h"

#include <cell/clientresults.h>
#include <cell/ports.h>

#include <base/eventlog.h>
#include <base/metrics.h>
#include <eventloop/timers.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cowsliprock::cell {

/// Handles calls of clients: asks the owner of a job's shard, or the store.
class FrontDesk
{
public:
    struct Ports
    {
        StoreRouter &store;
        PeerPort &peers;
        Timers &timers;
        EventLog &log;
        Metrics &metrics;
    };

    /// State of a job in a shard of this daemon; the outer value is empty if it owns no such shard.
    using LocalStatus =
        std::function<std::optional<std::optional<JobStatus>>(std::uint32_t, const std::string &)>;
    using LocalPending =
        std::function<std::optional<std::uint64_t>(std::uint32_t, const std::string &)>;

    /// Tells a shard of this daemon of a job that was just stored; false if it owns no such shard.
    using LocalAccepted = std::function<bool(std::uint32_t, const StoreItem &)>;

    FrontDesk(const Ports &ports, Membership &membership, std::uint32_t shards,
              LocalStatus localStatus, LocalPending localPending, LocalAccepted localAccepted);
    ~FrontDesk();
    FrontDesk(const FrontDesk &) = delete;
    FrontDesk &operator=(const FrontDesk &) = delete;

    void submit(const JobRecord &record, TimePoint deadline, const Done<SubmitResult> &done);
    void status(const std::string &id, const Done<StatusAnswer> &done);
    void cancel(const std::string &id, TimePoint deadline, const Done<CancelResult> &done);
    void pending(const std::string &queue, const Done<std::optional<std::uint64_t>> &done);

    /// When a caller that is refused now should try again.
    [[nodiscard]] std::chrono::seconds comeBackAfter() const noexcept;

    [[nodiscard]] std::uint32_t shardOf(const std::string &id) const noexcept;

private:
    /// Address of the owner of a shard, if that is another daemon.
    [[nodiscard]] std::optional<std::string> otherOwner(std::uint32_t shard) const;
    [[nodiscard]] std::string jobKey(const std::string &id) const;
    [[nodiscard]] std::string endedKey(const std::string &id) const;
    void logSubmission(const std::string &id, TimePoint begun, SubmitResult result);
    void statusFromOwner(const std::string &id, const std::string &address,
                         const Done<StatusAnswer> &done);
    void statusFromStore(const std::string &id, const Done<StatusAnswer> &done);
    void statusFromJob(const std::string &id, bool begun, const Done<StatusAnswer> &done);
    void statusFromEnd(const std::string &id, const Done<StatusAnswer> &done);
    void cancelEnded(const std::string &id, const Done<CancelResult> &done);
    void cancelWrite(const std::string &id, const StoreItem &item, TimePoint deadline,
                     const Done<CancelResult> &done);
    void tellOwner(const std::string &id);
    /// \p record: the text as it is stored.
    void tellOwnerOfJob(const std::string &id, const std::string &record, std::uint64_t revision);
    void cancelAgain(const std::string &id, TimePoint deadline, const Done<CancelResult> &done);

    Ports m_ports;
    Membership &m_membership;
    std::uint32_t m_shards;
    LocalStatus m_localStatus;
    LocalPending m_localPending;
    LocalAccepted m_localAccepted;
    Submissions m_submissions;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowsliprock::cell
