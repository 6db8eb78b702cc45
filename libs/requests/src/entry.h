#pragma once

#include "context.h"
#include "dispatcher.h"
#include "home.h"
#include "homelocator.h"

#include <set>
#include <unordered_map>
#include <utility>

namespace cowsliprock::requests {

/// Entry role: accepts requests from callers and answers each exactly once, no later than the first
/// tick after its deadline.
class Entry
{
public:
    Entry(Context &context, const HomeLocator &locator, Home &home, Dispatcher &dispatcher);

    void arrived(const event::RequestArrived &arrived);
    void callerDisconnected(const event::CallerDisconnected &caller);
    void forwardReplied(const message::ForwardReply &reply);
    void operationFinished(const AttemptId &operation, const RequestAnswer &answer);
    void homeReplied(const RequestId &request, const RequestAnswer &answer);
    void peerStatus(const event::PeerStatus &status);
    void tick();
    [[nodiscard]] bool idle() const noexcept { return m_requests.empty(); }
    [[nodiscard]] std::size_t size() const noexcept { return m_requests.size(); }

private:
    struct Request
    {
        RequestProfile profile;
        BodyKey body;
        TimePoint arrived;
        TimePoint deadline;
        AttemptId attempt;   ///< Dispatcher operation or forward; empty if this daemon is the home.
        DaemonIdentity home; ///< Daemon to which the request was forwarded.
    };

    void serve(const RequestId &id, Request &request);
    void serveAtMostOnce(const RequestId &id, Request &request);
    void attemptFinished(const AttemptId &attempt, const RequestAnswer &answer);
    void answer(const RequestId &id, const RequestAnswer &answer);
    void report(const Request &request, const RequestAnswer &answer);

    Context &m_context;
    const HomeLocator &m_locator;
    Home &m_home;
    Dispatcher &m_dispatcher;
    std::unordered_map<RequestId, Request> m_requests;
    std::unordered_map<AttemptId, RequestId> m_attempts;
    std::map<AttemptId, DaemonIdentity> m_forwards; ///< Outstanding forwards and their homes.
    std::set<std::pair<TimePoint, RequestId>> m_deadlines;
};

} // namespace cowsliprock::requests
