#pragma once

#include "context.h"
#include "dispatcher.h"
#include "entry.h"
#include "home.h"
#include "homelocator.h"
#include "owner.h"

namespace cowsliprock::requests {

/// Stage that serves requests; routes events to its components.
class RequestsStage : public Stage
{
public:
    explicit RequestsStage(const KernelSettings &settings);

    void handle(const Event &event, TimePoint now, Output &output) override;
    [[nodiscard]] std::string snapshot() const override;

private:
    void on(const event::Tick &);
    void on(const event::PeerMessage &received);
    void on(const event::VmList &list) { m_owner.endpoints().vmList(list); }
    void on(const event::RequestArrived &arrived) { m_entry.arrived(arrived); }
    void on(const event::CallerDisconnected &caller) { m_entry.callerDisconnected(caller); }
    void on(const event::EndpointReply &reply);
    void on(const event::WorkerReport &report);
    void on(const event::WorkerUnreachable &worker);
    void on(const event::OperatorCall &call);
    void on(const event::DrainRequested &) { m_context.draining = true; }
    void on(const event::PartitionAcquired &partition);
    void on(const event::PartitionLost &partition);
    void on(const event::ValidityChanged &validity);
    void on(const event::OwnersChanged &changed) { m_locator.ownersChanged(changed); }
    void on(const event::PeerStatus &status);
    void on(const event::JournalResult &result);
    void on(const event::ConfigurationInForce &inForce);
    void on(const auto &) { } // events of other stages

    void received(const DaemonIdentity &from, const message::Dispatch &dispatch);
    void received(const DaemonIdentity &from, const message::DispatchReply &reply);
    void received(const DaemonIdentity &from, const message::Forward &forward);
    void received(const DaemonIdentity &from, const message::ForwardReply &reply);
    void received(const DaemonIdentity &, const auto &) { } // messages of other stages

    /// Delivers queued replies between components until none remains.
    void deliverReplies();
    void deliver(const OwnerReply &reply);
    void deliver(const OperationResult &done);
    void deliver(const HomeReply &reply);
    void publishLoad();
    void publishLate();
    void checkDrained();

    Context m_context;
    HomeLocator m_locator;
    Owner m_owner;
    Dispatcher m_dispatcher;
    Home m_home;
    Entry m_entry;
    LoadSummary m_publishedLoad;
    TimePoint m_latePublishedAt;
    bool m_hadLateItems = false;
    TimePoint m_loadPublishedAt;
    bool m_drainReported = false;
};

} // namespace cowsliprock::requests
