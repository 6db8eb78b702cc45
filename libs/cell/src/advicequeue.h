#pragma once

#include "membership.h"

#include <cell/ports.h>

#include <eventloop/answertimes.h>
#include <eventloop/timers.h>

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cowsliprock::cell {

/// Questions that take longer are slow ones: they wait for each other.
constexpr std::chrono::milliseconds slowQuestion{ 60 };

struct AdviceRequest
{
    std::string step; ///< Text of the step.
    std::vector<std::string> workers;
    Duration expected{};        ///< Time that the policy service needs.
    std::uint32_t priority = 0; ///< 0 goes first.
};

/// Who the scheduler asks which workers may run a step.
class Adviser
{
public:
    virtual ~Adviser() = default;
    /// True if a question that takes \p expected would be asked at once. A question that waits
    /// here names workers whose room is gone when it is answered.
    [[nodiscard]] virtual bool accepts(Duration expected) = 0;
    virtual void advise(const AdviceRequest &request, Done<Result<Advice>> done) = 0;
};

/// Questions to the policy service, spread over the daemons, since the service answers one
/// question of each daemon at a time. Load it answers: many slow questions of batch work at the
/// time of a burst of urgent ones. Urgent questions go first, and a part of the daemons takes no
/// slow ones.
class AdviceQueue : public Adviser
{
public:
    AdviceQueue(AdvicePort &local, PeerPort &peers, Timers &timers, Membership &membership);
    ~AdviceQueue() override;

    [[nodiscard]] bool accepts(Duration expected) override;
    void advise(const AdviceRequest &request, Done<Result<Advice>> done) override;

private:
    /// What is known of a daemon as an asker.
    struct Asker
    {
        TimePoint busyUntil{};
        TimePoint slowUntil{}; ///< It asks a slow question until then.
        TimePoint avoidUntil{};
        std::uint32_t failures = 0; ///< In a row.
    };
    struct Entry
    {
        AdviceRequest request;
        std::uint32_t tries = 0;
        Done<Result<Advice>> done;
    };

    void enqueue(Entry entry);
    void dispatch();
    void scheduleDispatch(Duration delay);
    [[nodiscard]] std::string freeAsker(bool slow);
    /// Names of the daemons to ask; they belong to the membership.
    [[nodiscard]] std::vector<const std::string *> askers() const;
    void noteFailure(Asker &asker, Duration reserve, const Error &error);
    void send(Entry entry, const std::string &asker);
    void answered(Entry entry, const std::string &asker, const Result<Advice> &answer);
    void askPeer(const MemberRecord &member, const AdviceRequest &request, Duration timeout,
                 Done<Result<Advice>> done);

    AdvicePort &m_local;
    PeerPort &m_peers;
    Timers &m_timers;
    Membership &m_membership;
    AnswerTimes m_delays; ///< Of answers, beyond the time that the service needs.
    std::unordered_map<std::string, Asker> m_askers;
    std::map<std::uint32_t, std::list<Entry>> m_waiting; ///< By priority, in the order of arrival.
    TimePoint m_nextDispatch{};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowsliprock::cell
