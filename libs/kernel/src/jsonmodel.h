#pragma once

#include <kernel/effects.h>
#include <kernel/events.h>
#include <kernel/settings.h>

#include <nlohmann/json.hpp>

#include <chrono>

/// JSON mapping of the model, messages, events and effects. JSON member names are the C++ member
/// names; times are in microseconds. A missing member is an error, so that truncated messages are
/// rejected.

/// Maps a struct without members to an empty JSON object.
// NOLINTBEGIN(bugprone-macro-parentheses): a type name cannot be parenthesised.
#define COWSLIPROCK_EMPTY_JSON(Type) \
    inline void to_json(nlohmann::json &target, const Type &) \
    { \
        target = nlohmann::json::object(); \
    } \
    inline void from_json(const nlohmann::json &source, Type &) \
    { \
        if (!source.is_object()) \
            throw std::invalid_argument("expected a JSON object"); \
    }
// NOLINTEND(bugprone-macro-parentheses)

namespace nlohmann {

template <>
struct adl_serializer<cowsliprock::Duration>
{
    static void to_json(json &target, cowsliprock::Duration value) { target = value.count(); }
    static void from_json(const json &source, cowsliprock::Duration &value)
    {
        value = cowsliprock::Duration(source.get<std::int64_t>());
    }
};

template <>
struct adl_serializer<cowsliprock::TimePoint>
{
    static void to_json(json &target, cowsliprock::TimePoint value)
    {
        target = value.time_since_epoch().count();
    }
    static void from_json(const json &source, cowsliprock::TimePoint &value)
    {
        value = cowsliprock::TimePoint(cowsliprock::Duration(source.get<std::int64_t>()));
    }
};

template <typename Tag>
struct adl_serializer<cowsliprock::Id<Tag>>
{
    static void to_json(json &target, const cowsliprock::Id<Tag> &value) { target = value.value(); }
    static void from_json(const json &source, cowsliprock::Id<Tag> &value)
    {
        value = cowsliprock::Id<Tag>(source.get<std::string>());
    }
};

/// Maps a null pointer to JSON null.
template <>
struct adl_serializer<cowsliprock::ConfigurationPointer>
{
    static void to_json(json &target, const cowsliprock::ConfigurationPointer &value);
    static void from_json(const json &source, cowsliprock::ConfigurationPointer &value);
};

template <>
struct adl_serializer<cowsliprock::Message>
{
    static void to_json(json &target, const cowsliprock::Message &value);
    static void from_json(const json &source, cowsliprock::Message &value);
};

} // namespace nlohmann

namespace cowsliprock {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Resources, cpuMillis, memoryMb, accelerators)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DaemonIdentity, name, incarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Location, region, dataCentre, rack)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Objectives, waitingTime, waitingShare, deadlineShare,
                                   availability)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServiceDefinition, name, team, policy, priority, slots,
                                   connections, queueLimit, retryBudgetPercent, expectedServiceTime,
                                   defaultDeadline, objectives)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JobDefinition, name, team, policy, kind, priority, exclusive,
                                   mayYield, taskCount, perTask, expectedRunTime, deadline,
                                   maxAttempts, regions, service)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PolicyDefinition, name, placement, waitingWeight, packingWeight,
                                   crossRegionWeight)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TeamDefinition, name, quota)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CallerDefinition, name, homeRegion)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Configuration, version, services, jobs, policies, teams, callers)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(VmEntry, name, role, address, location, leaving)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EndpointReport, service, address, slots, connections,
                                   activeRequests, leaving)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TaskReport, attempt, job, index, state, declared, used)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RequestProfile, caller, service, idempotencyKey, idempotent,
                                   priority, hasPriority, timeLeft, digest, bodyBytes, path, method)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RequestAnswer, kind, httpStatus, body, reason, retryAfter,
                                   served)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JournalEntry, kind, partition, identity, attempt, digest, worker)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LoadSummary, freeSlots, waiting, freeResources, largestFree,
                                   workerTypes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AcceptedJob, id, definition, submittedBy, cancelled, outcome)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TaskLaunch, attempt, job, index, declared, expectedRunTime,
                                   service, slots, connections, name)
} // namespace cowsliprock

namespace cowsliprock::message {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Heartbeat, location, address, peerAddress, configurationVersion,
                                   draining, load, partitions)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PromiseRequest, sequence, recordVersion)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PromiseReply, sequence, granted)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WaiverRequest, owner, recordVersion)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WaiverReply, owner, recordVersion, waived)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Dispatch, attempt, request, bodyKey, body, contentType)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DispatchReply, attempt, answer, body, contentType)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Forward, attempt, request, bodyKey, body, contentType)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ForwardReply, attempt, answer, body, contentType)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Reserve, attempt, launch, policy, priority, mayYield, preempt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReserveReply, attempt, granted, worker, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReleaseReservation, attempt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StartTask, attempt, worker)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StartTaskReply, attempt, outcome, worker)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StopTask, attempt, worker)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TaskEnded, attempt, job, index, state, used)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigurationPull, haveVersion)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigurationPush, fromVersion, toVersion, patches)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OperatorRelay, operation, action, body)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OperatorRelayReply, operation, httpStatus, body)

} // namespace cowsliprock::message

namespace cowsliprock::event {

COWSLIPROCK_EMPTY_JSON(Started)
COWSLIPROCK_EMPTY_JSON(Tick)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StoreRow, key, version, value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StoreReply, call, status, version, value, rows, sentAt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PeerMessage, from, message)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(VmList, entries)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RequestArrived, request, profile, bodyKey)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CallerDisconnected, request)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EndpointReply, attempt, outcome, httpStatus, body, leaving,
                                   detail)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WorkerReport, worker, askedAt, capacity, tasks, endpoints)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WorkerUnreachable, worker)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TaskStartResult, attempt, outcome)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TaskStopResult, attempt, confirmed)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OperatorCall, operation, action, body)
COWSLIPROCK_EMPTY_JSON(DrainRequested)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PartitionAcquired, partition, epoch, usableFrom, inherited)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PartitionLost, partition)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ValidityChanged, validUntil, storeReachable)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OwnersChanged, owners)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PeerStatus, peer, location, alive, draining,
                                   configurationVersion, load)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JournalAppend, ticket, stage, entry)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(JournalResult, ticket, stage, durable)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigurationInForce, configuration)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LoadChanged, stage, load)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StageDrained, stage)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WorkFinished, service, caller, request, waited, deadlineMet,
                                   available)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LateItem, id, name, caller, lateSince)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LateWorkChanged, stage, items)

} // namespace cowsliprock::event

namespace cowsliprock::effect {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StoreCall, call, operation, key, version, value, timeToLive)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SendPeer, to, message)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AnswerCaller, request, answer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AnswerOperator, operation, httpStatus, body)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CallEndpoint, attempt, address, request, body, validUntil)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ForgetBody, body)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PollWorker, worker, address, renew, lease, validUntil)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StartTask, worker, address, launch, lease, validUntil)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StopTask, attempt, worker, address, mode, validUntil)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Count, metric, amount)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Observe, metric, value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LogChange, text)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SetReady, ready, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SetIncarnation, incarnation)
COWSLIPROCK_EMPTY_JSON(Exit)

} // namespace cowsliprock::effect

namespace cowsliprock {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PeerAddress, name, location, peerAddress)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KernelSettings, self, location, httpAddress, peerAddress, peers,
                                   randomSeed, partitionsPerDataCentre, renewInterval, leaseTime,
                                   leaseMargin, quarantine, maxOutageExtension, journalInterval,
                                   identityRetention, heartbeatInterval, farHeartbeatInterval,
                                   peerTimeout, pollInterval, taskLease, reservationTime,
                                   drainLimit, answerCacheEntries)

} // namespace cowsliprock
