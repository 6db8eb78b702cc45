#include "clientrequesthandler.h"

#include "retryafter.h"

#include "keys.h"
#include "peermessages.h"
#include "records.h"

#include <base/id.h>

#include <utility>

namespace cowsliprock::cell {

namespace {

/// If the owner of a shard does not respond within this time, the store is queried instead.
constexpr std::chrono::milliseconds ownerTimeout{ 300 };
constexpr std::chrono::milliseconds peerTimeout{ 700 };
constexpr std::chrono::milliseconds cancelRetryDelay{ 100 };

const char *submissionEvent(SubmitResult result) noexcept
{
    switch (result) {
    case SubmitResult::Accepted:
        return "job.accepted";
    case SubmitResult::NotStored:
        return "job.refused";
    case SubmitResult::Excess:
        return "job.refusedAsExcess";
    case SubmitResult::Unknown:
        break;
    }
    return "job.unanswered";
}

} // namespace

ClientRequestHandler::ClientRequestHandler(const Ports &ports, Membership &membership,
                                           std::uint32_t shards, LocalStatus localStatus,
                                           LocalPending localPending, LocalAccepted localAccepted)
    : m_ports(ports)
    , m_membership(membership)
    , m_shards(shards)
    , m_localStatus(std::move(localStatus))
    , m_localPending(std::move(localPending))
    , m_localAccepted(std::move(localAccepted))
    , m_submissions(ports.store, ports.timers, ports.metrics)
{ }

ClientRequestHandler::~ClientRequestHandler()
{
    *m_alive = false;
}

std::uint32_t ClientRequestHandler::shardOf(const std::string &id) const noexcept
{
    return static_cast<std::uint32_t>(stableHash(id) % m_shards);
}

std::string ClientRequestHandler::jobKey(const std::string &id) const
{
    return keys::job(shardOf(id), id);
}

std::string ClientRequestHandler::endedKey(const std::string &id) const
{
    return keys::ended(shardOf(id), id);
}

std::optional<std::string> ClientRequestHandler::otherOwner(std::uint32_t shard) const
{
    const auto owner = m_membership.owner(shard);
    if (!owner || owner->record.address.empty() || owner->record.name == m_membership.self().name)
        return std::nullopt;
    return owner->record.address;
}

void ClientRequestHandler::submit(const JobRecord &record, const CustomerSettings *customer,
                                  TimePoint deadline, const Done<SubmitResult> &done)
{
    if (isExcess(record, customer))
        refuseUnlessStored(record, deadline, done);
    else
        store(record, deadline, done);
}

void ClientRequestHandler::store(const JobRecord &record, TimePoint deadline,
                                 const Done<SubmitResult> &done)
{
    const auto text = encode(record);
    m_submissions.submit(jobKey(record.id), endedKey(record.id), text, deadline,
                         [this, alive = m_alive, record, text, begun = m_ports.timers.now(),
                          done](const Submission &submission) {
                             if (!*alive)
                                 return;
                             logSubmission(record.id, begun, submission.result);
                             if (submission.revision != 0)
                                 notifyOwnerOfJob(record, text, submission.revision);
                             done(submission.result);
                         });
}

void ClientRequestHandler::notifyOwnerOfJob(const JobRecord &record, const std::string &text,
                                            std::uint64_t revision)
{
    // The owner also learns of the job through its watch, which may be delayed by an outage.
    const auto shard = shardOf(record.id);
    const StoreItem item{ jobKey(record.id), text, revision, revision, 0 };
    if (const auto answer = m_localAccepted(shard, item)) {
        handleAcceptedAnswer(shard, record.customer, *answer);
        return;
    }
    if (const auto address = otherOwner(shard)) {
        m_ports.peers.call({ *address, "POST", "/peer/accepted/" + std::to_string(shard),
                             encode(StoreReply(std::optional(item))), ownerTimeout },
                           [this, alive = m_alive, shard,
                            customer = record.customer](const Result<PeerAnswer> &answer) {
                               if (!*alive || !answer.has_value()
                                   || answer.value().status != statusOk)
                                   return;
                               if (const auto decoded = decodeAcceptedAnswer(answer.value().body))
                                   handleAcceptedAnswer(shard, customer, *decoded);
                           });
    }
}

std::chrono::seconds ClientRequestHandler::retryAfter() const noexcept
{
    return cell::retryAfter(m_ports.store.outage());
}

void ClientRequestHandler::logSubmission(const std::string &id, TimePoint begun,
                                         SubmitResult result)
{
    const auto now = m_ports.timers.now();
    m_ports.log.write(now, submissionEvent(result),
                      { { "job", id },
                        { "ms", toMilliseconds(now - begun) },
                        { "storeFailing", !m_ports.store.direct() } });
}

void ClientRequestHandler::status(const std::string &id, const Done<StatusAnswer> &done)
{
    const auto shard = shardOf(id);
    if (const auto local = m_localStatus(shard, id)) {
        if (*local)
            done({ true, *local });
        else
            statusFromStore(id, done);
        return;
    }
    if (const auto address = otherOwner(shard))
        statusFromOwner(id, *address, done);
    else
        statusFromStore(id, done);
}

void ClientRequestHandler::statusFromOwner(const std::string &id, const std::string &address,
                                           const Done<StatusAnswer> &done)
{
    m_ports.peers.call({ address, "GET", "/peer/job/" + id, "", ownerTimeout },
                       [this, alive = m_alive, id, done](const Result<PeerAnswer> &answer) {
                           if (!*alive)
                               return;
                           if (answer.has_value() && answer.value().status == statusOk) {
                               const auto status = decodeStatus(answer.value().body);
                               if (status && *status) {
                                   done({ true, *status });
                                   return;
                               }
                           }
                           // The owner may not know a job yet that was only just accepted.
                           statusFromStore(id, done);
                       });
}

void ClientRequestHandler::statusFromStore(const std::string &id, const Done<StatusAnswer> &done)
{
    const auto key = keys::state(shardOf(id), id);
    m_ports.store.read(
        key, [this, alive = m_alive, id, done](const Result<std::optional<StoreItem>> &item) {
            if (!*alive)
                return;
            if (!item.has_value()) {
                done({});
                return;
            }
            if (!item.value()) {
                statusFromJob(id, false, done);
                return;
            }
            const auto progress = decodeProgress(item.value()->value);
            const bool ended = progress && progress->status != JobStatus::Queued
                && progress->status != JobStatus::Running;
            if (ended)
                done({ true, progress->status });
            else
                statusFromJob(id, true, done);
        });
}

void ClientRequestHandler::statusFromJob(const std::string &id, bool begun,
                                         const Done<StatusAnswer> &done)
{
    m_ports.store.read(
        jobKey(id),
        [this, alive = m_alive, id, begun, done](const Result<std::optional<StoreItem>> &item) {
            if (!*alive)
                return;
            if (!item.has_value()) {
                done({});
                return;
            }
            if (!item.value()) {
                statusFromEnd(id, done);
                return;
            }
            const auto record = decodeJob(item.value()->value);
            if (record && record->cancelled)
                done({ true, JobStatus::Cancelled });
            else
                done({ true, begun ? JobStatus::Running : JobStatus::Queued });
        });
}

void ClientRequestHandler::statusFromEnd(const std::string &id, const Done<StatusAnswer> &done)
{
    m_ports.store.read(endedKey(id), [done](const Result<std::optional<StoreItem>> &item) {
        if (!item.has_value()) {
            done({});
            return;
        }
        std::optional<JobStatus> status;
        if (item.value())
            status = parseJobStatus(item.value()->value);
        done({ true, status });
    });
}

void ClientRequestHandler::cancel(const std::string &id, TimePoint deadline,
                                  const Done<CancelResult> &done)
{
    readToCancel(jobKey(id), { id, deadline, done },
                 [this](const Cancellation &cancellation, const std::optional<StoreItem> &item) {
                     if (item)
                         writeCancellation(cancellation, *item);
                     else
                         cancelWithoutJob(cancellation);
                 });
}

void ClientRequestHandler::readToCancel(
    const std::string &key, const Cancellation &cancellation,
    const std::function<void(const Cancellation &, const std::optional<StoreItem> &)> &next)
{
    m_ports.store.read(
        key,
        [this, alive = m_alive, cancellation, next](const Result<std::optional<StoreItem>> &item) {
            if (!*alive)
                return;
            if (item.has_value())
                next(cancellation, item.value());
            else
                retryCancel(cancellation);
        });
}

void ClientRequestHandler::commitToCancel(
    const Transaction &transaction, const Cancellation &cancellation,
    const std::function<void(const Cancellation &)> &committed)
{
    m_ports.store.commit(transaction,
                         [this, alive = m_alive, cancellation,
                          committed](const Result<TransactionOutcome> &outcome) {
                             if (!*alive)
                                 return;
                             const bool stored = outcome.has_value()
                                 && std::holds_alternative<Committed>(outcome.value());
                             if (stored) {
                                 committed(cancellation);
                                 return;
                             }
                             // Reading again also determines the outcome of a write whose response
                             // was lost.
                             retryCancel(cancellation);
                         });
}

void ClientRequestHandler::cancelWithoutJob(const Cancellation &cancellation)
{
    readToCancel(endedKey(cancellation.id), cancellation,
                 [this](const Cancellation &pending, const std::optional<StoreItem> &item) {
                     if (!item) {
                         preventSubmission(pending);
                         return;
                     }
                     // Cancelling a job that has already ended succeeds without effect.
                     const bool ended = parseJobStatus(item->value).has_value();
                     pending.done(ended ? CancelResult::Cancelled : CancelResult::NoSuchJob);
                 });
}

void ClientRequestHandler::preventSubmission(const Cancellation &cancellation)
{
    // A submission whose caller got no answer may still store the job.
    Transaction transaction;
    transaction.conditions.push_back({ jobKey(cancellation.id), 0 });
    transaction.conditions.push_back({ endedKey(cancellation.id), 0 });
    transaction.writes.push_back({ endedKey(cancellation.id), notStoredRecord, 0 });
    commitToCancel(transaction, cancellation, [this](const Cancellation &stored) {
        m_ports.metrics.count("jobs.submissionsPrevented");
        m_ports.log.write(m_ports.timers.now(), "job.submissionPrevented",
                          { { "job", stored.id } });
        stored.done(CancelResult::NoSuchJob);
    });
}

void ClientRequestHandler::writeCancellation(const Cancellation &cancellation,
                                             const StoreItem &item)
{
    auto record = decodeJob(item.value);
    if (!record) {
        m_ports.log.write(m_ports.timers.now(), "job.malformed", { { "key", item.key } });
        cancellation.done(CancelResult::Unavailable);
        return;
    }
    if (record->cancelled) {
        cancellation.done(CancelResult::Cancelled);
        return;
    }
    record->cancelled = true;
    Transaction transaction;
    transaction.conditions.push_back({ item.key, item.revision });
    transaction.writes.push_back({ item.key, encode(*record), 0 });
    commitToCancel(transaction, cancellation, [this](const Cancellation &stored) {
        m_ports.metrics.count("jobs.cancelRequests");
        m_ports.log.write(m_ports.timers.now(), "job.cancelStored", { { "job", stored.id } });
        notifyOwnerOfCancellation(stored.id);
        stored.done(CancelResult::Cancelled);
    });
}

void ClientRequestHandler::notifyOwnerOfCancellation(const std::string &id)
{
    // The owner watches the store, but is notified as well in case it cannot reach the store.
    const auto address = otherOwner(shardOf(id));
    if (!address)
        return;
    m_ports.peers.call({ *address, "POST", "/peer/cancelled/" + id, "", peerTimeout },
                       [](const Result<PeerAnswer> &) {});
}

void ClientRequestHandler::retryCancel(const Cancellation &cancellation)
{
    if (m_ports.timers.now() + cancelRetryDelay >= cancellation.deadline) {
        cancellation.done(CancelResult::Unavailable);
        return;
    }
    m_ports.timers.after(cancelRetryDelay, [this, alive = m_alive, cancellation] {
        if (*alive)
            cancel(cancellation.id, cancellation.deadline, cancellation.done);
    });
}

void ClientRequestHandler::pending(const std::string &queue,
                                   const Done<std::optional<std::uint64_t>> &done)
{
    struct Sum
    {
        std::uint64_t total = 0;
        std::uint32_t open = 0;
        bool failed = false;
    };
    auto sum = std::make_shared<Sum>();
    sum->open = m_shards;
    const auto add = [sum, done](std::optional<std::uint64_t> count) {
        sum->failed = sum->failed || !count;
        sum->total += count.value_or(0);
        if (--sum->open == 0)
            done(sum->failed ? std::nullopt : std::optional(sum->total));
    };
    for (std::uint32_t shard = 0; shard < m_shards; ++shard) {
        if (const auto local = m_localPending(shard, queue)) {
            add(local);
            continue;
        }
        const auto owner = m_membership.owner(shard);
        if (!owner || owner->record.address.empty()) {
            add(std::nullopt);
            continue;
        }
        m_ports.peers.call(
            { owner->record.address, "GET", "/peer/pending/" + std::to_string(shard) + "/" + queue,
              "", peerTimeout },
            [add](const Result<PeerAnswer> &answer) {
                const bool answered = answer.has_value() && answer.value().status == statusOk;
                add(answered ? decodeCount(answer.value().body) : std::nullopt);
            });
    }
}

} // namespace cowsliprock::cell
