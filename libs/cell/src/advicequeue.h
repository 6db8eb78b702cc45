#pragma once

#include "membership.h"

#include <cell/ports.h>

#include <eventloop/responsetimes.h>
#include <eventloop/timers.h>

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cowsliprock::cell {

/// Requests with a longer expected decision time are slow; the number of concurrent slow requests
/// is limited.
constexpr std::chrono::milliseconds slowRequestThreshold{ 60 };

struct AdviceRequest
{
    std::string step; ///< Text form of the step id.
    std::vector<std::string> workers;
    Duration expected{};        ///< Decision time of the policy service.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
};

/// Interface through which the scheduler asks which workers may run a step.
class Adviser
{
public:
    virtual ~Adviser() = default;
    /// True if a request with the decision time \p expected would be sent at once. The workers
    /// named in a queued request may have no room left by the time it is answered.
    [[nodiscard]] virtual bool accepts(Duration expected) = 0;
    virtual void advise(const AdviceRequest &request, Done<Result<Advice>> done) = 0;
};

/// Distributes requests to the policy service over the daemons, since the service handles one
/// request per daemon at a time. Requests are sent in order of priority, and a share of the daemons
/// accepts no slow requests, so that bursts of urgent work are not delayed by many slow requests of
/// batch work.
class AdviceQueue : public Adviser
{
public:
    AdviceQueue(AdvicePort &local, PeerPort &peers, Timers &timers, Membership &membership);
    ~AdviceQueue() override;

    [[nodiscard]] bool accepts(Duration expected) override;
    void advise(const AdviceRequest &request, Done<Result<Advice>> done) override;

private:
    /// State of a daemon that forwards requests to the policy service.
    struct DaemonState
    {
        TimePoint busyUntil{};
        TimePoint slowUntil{}; ///< A slow request is in progress until then.
        TimePoint backoffUntil{};
        std::uint32_t failures = 0; ///< Consecutive failures.
    };
    struct Entry
    {
        AdviceRequest request;
        std::uint32_t attempts = 0;
        Done<Result<Advice>> done;
    };

    void enqueue(Entry entry);
    void dispatch();
    void scheduleDispatch(Duration delay);
    [[nodiscard]] std::string selectDaemon(bool slow);
    /// Names of the daemons that requests may be sent through. The strings are owned by the
    /// membership.
    [[nodiscard]] std::vector<const std::string *> eligibleDaemons() const;
    void recordFailure(DaemonState &daemon, Duration reserve, const Error &error);
    void send(Entry entry, const std::string &daemon);
    void handleAnswer(Entry entry, const std::string &daemon, const Result<Advice> &answer);
    void queryPeer(const MemberRecord &member, const AdviceRequest &request, Duration timeout,
                   Done<Result<Advice>> done);

    AdvicePort &m_local;
    PeerPort &m_peers;
    Timers &m_timers;
    Membership &m_membership;
    ResponseTimes m_answerDelays; ///< Delay of answers beyond the decision time.
    std::unordered_map<std::string, DaemonState> m_daemons;
    /// Keyed by priority; each list is in order of arrival, retries first.
    std::map<std::uint32_t, std::list<Entry>> m_waiting;
    TimePoint m_nextDispatch{};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowsliprock::cell
