#pragma once

#include "context.h"
#include "journal.h"
#include "lease.h"
#include "observer.h"
#include "partitions.h"
#include "peers.h"
#include "promises.h"
#include "storecalls.h"
#include "takeover.h"

#include <kernel/stage.h>

#include <optional>
#include <set>
#include <string>

namespace cowsliprock::ownership {

/// Stage "ownership", as specified in sections 2.1, 2.2, 2.8 and 2.9 of the design document.
class OwnershipStage : public Stage, private Lease::Listener, private Observer::Listener
{
public:
    explicit OwnershipStage(const KernelSettings &settings);

    void handle(const Event &event, TimePoint now, Output &output) override;
    [[nodiscard]] std::string snapshot() const override;

private:
    // Lease::Listener
    void leaseRenewed(EventContext &context) override;
    void leaseLost(EventContext &context) override;
    void leaseEnded(EventContext &context) override;
    [[nodiscard]] std::vector<DaemonIdentity> chooseSuccessors(TimePoint now) override;
    // Observer::Listener
    void daemonRecordRead(const DaemonName &name, const Observer::ObservedRecord &observed,
                          EventContext &context) override;
    void ownershipRead(const std::string &dataCentre, std::uint64_t version,
                       const OwnershipRecord &record, EventContext &context) override;

    // Events
    void handleEvent(const event::Started &event, EventContext &context);
    void handleEvent(const event::Tick &event, EventContext &context);
    void handleEvent(const event::StoreReply &event, EventContext &context);
    void handleEvent(const event::PeerMessage &event, EventContext &context);
    void handleEvent(const event::VmList &event, EventContext &context);
    void handleEvent(const event::OperatorCall &event, EventContext &context);
    void handleEvent(const event::DrainRequested &event, EventContext &context);
    void handleEvent(const event::StageDrained &event, EventContext &context);
    void handleEvent(const event::JournalAppend &event, EventContext &context);
    void handleEvent(const event::LoadChanged &event, EventContext &context);
    void handleEvent(const event::ConfigurationInForce &event, EventContext &context);
    void handleEvent(const event::OwnersChanged &event, EventContext &context);
    template <typename Other>
    void handleEvent(const Other &, EventContext &)
    { }

    // Messages between daemons
    void handleMessage(const DaemonIdentity &from, const message::PromiseRequest &request,
                       EventContext &context);
    void handleMessage(const DaemonIdentity &from, const message::PromiseReply &reply,
                       EventContext &context);
    void handleMessage(const DaemonIdentity &from, const message::WaiverRequest &request,
                       EventContext &context);
    void handleMessage(const DaemonIdentity &from, const message::WaiverReply &reply,
                       EventContext &context);
    template <typename Other>
    void handleMessage(const DaemonIdentity &, const Other &, EventContext &)
    { }

    void updatePollPriorities(TimePoint now);
    [[nodiscard]] Observer::PollPriority pollPriorityOf(const DaemonName &name,
                                                        TimePoint now) const;
    void requestPromises(EventContext &context);
    void updateValidity(EventContext &context);
    void updateReadiness(EventContext &context);
    [[nodiscard]] std::string notReadyReason(TimePoint now);
    void drain(EventContext &context);
    void exit(EventContext &context);
    [[nodiscard]] Partitions::Conditions conditions() const;
    [[nodiscard]] std::string describe(TimePoint now) const;

    SharedState m_shared;
    StoreCalls m_calls;
    Journal m_journal;
    Peers m_peers;
    ReceivedPromises m_receivedPromises;
    GivenPromises m_givenPromises;
    Lease m_lease;
    Observer m_observer;
    TakeOver m_takeOver;
    Partitions m_partitions;

    TimePoint m_startedAt;
    TimePoint m_pollPrioritiesUpdatedAt;
    TimePoint m_validUntil;
    bool m_storeReachable = false; ///< The validity is based on a renewal, not only on promises.
    std::optional<std::string> m_notReadyReason;
    bool m_configurationUpToDate = false;
    std::optional<TimePoint> m_drainingSince;
    std::optional<TimePoint> m_releasingSince;
    std::set<std::string> m_drainedStages;
    bool m_exited = false;
};

} // namespace cowsliprock::ownership
