#pragma once

#include "admissioncontrol.h"
#include "membership.h"
#include "peermessages.h"
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

/// Handles client requests by querying the owner of a job's shard, or the store.
class ClientRequestHandler
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

    /// Returns the status of a job in a shard owned by this daemon; the outer optional is empty if
    /// this daemon does not own the shard.
    using LocalStatus =
        std::function<std::optional<std::optional<JobStatus>>(std::uint32_t, const std::string &)>;
    using LocalPending =
        std::function<std::optional<std::uint64_t>(std::uint32_t, const std::string &)>;

    /// Notifies a shard owned by this daemon of a job that was just stored; returns nothing if this
    /// daemon does not own the shard.
    using LocalAccepted =
        std::function<std::optional<AcceptedAnswer>(std::uint32_t, const StoreItem &)>;

    ClientRequestHandler(const Ports &ports, Membership &membership, std::uint32_t shards,
                         LocalStatus localStatus, LocalPending localPending,
                         LocalAccepted localAccepted);
    ~ClientRequestHandler();
    ClientRequestHandler(const ClientRequestHandler &) = delete;
    ClientRequestHandler &operator=(const ClientRequestHandler &) = delete;

    /// \p customer is null if the job has none.
    void submit(const JobRecord &record, const CustomerSettings *customer, TimePoint deadline,
                const Done<SubmitResult> &done);
    void status(const std::string &id, const Done<StatusAnswer> &done);
    void cancel(const std::string &id, TimePoint deadline, const Done<CancelResult> &done);
    void pending(const std::string &queue, const Done<std::optional<std::uint64_t>> &done);

    /// Delay after which a caller that is rejected now should retry.
    [[nodiscard]] std::chrono::seconds retryAfter() const noexcept;
    /// Delay after which a caller should retry a job that is refused as excess.
    [[nodiscard]] std::chrono::seconds excessRetryAfter(const std::string &id,
                                                        const std::string &customer) const;

    [[nodiscard]] std::uint32_t shardOf(const std::string &id) const noexcept;

private:
    /// Address of the owner of a shard if it is another daemon.
    [[nodiscard]] std::optional<std::string> otherOwner(std::uint32_t shard) const;
    [[nodiscard]] std::string jobKey(const std::string &id) const;
    [[nodiscard]] std::string endedKey(const std::string &id) const;
    void logSubmission(const std::string &id, TimePoint begun, SubmitResult result);
    void statusFromOwner(const std::string &id, const std::string &address,
                         const Done<StatusAnswer> &done);
    void statusFromStore(const std::string &id, const Done<StatusAnswer> &done);
    void statusFromJob(const std::string &id, bool begun, const Done<StatusAnswer> &done);
    void statusFromEnd(const std::string &id, const Done<StatusAnswer> &done);

    /// A request to cancel a job that was not answered yet.
    struct Cancellation
    {
        std::string id;
        TimePoint deadline{};
        Done<CancelResult> done;
    };

    /// Calls \p next with the item of the key; a failed read is retried until the deadline.
    void readToCancel(
        const std::string &key, const Cancellation &cancellation,
        const std::function<void(const Cancellation &, const std::optional<StoreItem> &)> &next);
    /// Calls \p committed once the transaction is committed; otherwise the cancellation starts
    /// again until the deadline.
    void commitToCancel(const Transaction &transaction, const Cancellation &cancellation,
                        const std::function<void(const Cancellation &)> &committed);
    /// Cancels a job that has ended or is not stored.
    void cancelWithoutJob(const Cancellation &cancellation);
    /// Ensures that no submission that is still in transit stores the job.
    void preventSubmission(const Cancellation &cancellation);
    void writeCancellation(const Cancellation &cancellation, const StoreItem &item);
    void retryCancel(const Cancellation &cancellation);
    void notifyOwnerOfCancellation(const std::string &id);
    void store(const JobRecord &record, TimePoint deadline, const Done<SubmitResult> &done);
    /// True if the job is above the guaranteed rate of its customer and would be served too late.
    [[nodiscard]] bool isExcess(const JobRecord &record, const CustomerSettings *customer);
    /// Refuses the job, unless an earlier submission may have stored it.
    void refuseUnlessStored(const JobRecord &record, TimePoint deadline,
                            const Done<SubmitResult> &done);
    /// Tells the owner of a job that was stored as \p text.
    void notifyOwnerOfJob(const JobRecord &record, const std::string &text, std::uint64_t revision);
    void handleAcceptedAnswer(std::uint32_t shard, const std::string &customer,
                              const AcceptedAnswer &answer);

    Ports m_ports;
    Membership &m_membership;
    std::uint32_t m_shards;
    LocalStatus m_localStatus;
    LocalPending m_localPending;
    LocalAccepted m_localAccepted;
    Submissions m_submissions;
    AdmissionControl m_admission;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowsliprock::cell
