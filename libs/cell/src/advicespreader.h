#pragma once

#include "membership.h"

#include <cell/ports.h>

#include <eventloop/timers.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cowsliprock::cell {

/// Spreads questions to the policy service over the daemons, since the service answers one
/// question of each daemon at a time.
class AdviceSpreader : public AdvicePort
{
public:
    AdviceSpreader(AdvicePort &local, PeerPort &peers, Timers &timers, Membership &membership);
    ~AdviceSpreader() override;

    void advise(const std::string &step, const std::vector<std::string> &workers, Duration timeout,
                Done<Result<Advice>> done) override;

private:
    struct Load
    {
        TimePoint busyUntil{};
        TimePoint avoidUntil{};
    };

    [[nodiscard]] std::string leastBusy();
    void tryOnce(const std::string &step, const std::vector<std::string> &workers, Duration timeout,
                 int tries, const Done<Result<Advice>> &done);
    void askPeer(const MemberRecord &member, const std::string &step,
                 const std::vector<std::string> &workers, Duration timeout,
                 Done<Result<Advice>> done);

    AdvicePort &m_local;
    PeerPort &m_peers;
    Timers &m_timers;
    Membership &m_membership;
    std::map<std::string, Load> m_loads;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowsliprock::cell
