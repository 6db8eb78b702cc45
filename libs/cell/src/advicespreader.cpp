#include "advicespreader.h"

#include "peermessages.h"

#include <algorithm>
#include <utility>

namespace cowsliprock::cell {

namespace {

constexpr int maxTries = 3;
/// A daemon that did not answer is not asked again for this long.
constexpr std::chrono::seconds avoidTime{ 2 };
/// Part of the timeout that the caller adds to the expected time of an answer.
constexpr std::chrono::milliseconds timeoutReserve{ 800 };

} // namespace

AdviceSpreader::AdviceSpreader(AdvicePort &local, PeerPort &peers, Timers &timers,
                               Membership &membership)
    : m_local(local)
    , m_peers(peers)
    , m_timers(timers)
    , m_membership(membership)
{ }

AdviceSpreader::~AdviceSpreader()
{
    *m_alive = false;
}

void AdviceSpreader::advise(const std::string &step, const std::vector<std::string> &workers,
                            Duration timeout, Done<Result<Advice>> done)
{
    tryOnce(step, workers, timeout, 1, done);
}

std::string AdviceSpreader::leastBusy()
{
    const auto now = m_timers.now();
    std::string best = m_membership.self().name;
    auto bestUntil = std::max(now, m_loads[best].busyUntil);
    for (const auto &[name, member] : m_membership.members()) {
        const auto &load = m_loads[name];
        if (load.avoidUntil > now)
            continue;
        if (const auto until = std::max(now, load.busyUntil); until < bestUntil) {
            best = name;
            bestUntil = until;
        }
    }
    return best;
}

void AdviceSpreader::tryOnce(const std::string &step, const std::vector<std::string> &workers,
                             Duration timeout, int tries, const Done<Result<Advice>> &done)
{
    const auto now = m_timers.now();
    const std::string name = leastBusy();
    auto &load = m_loads[name];
    const Duration waiting = std::max(load.busyUntil, now) - now;
    load.busyUntil = std::max(load.busyUntil, now) + (timeout - timeoutReserve);
    auto finished = [this, alive = m_alive, name, step, workers, timeout, tries,
                     done](const Result<Advice> &answer) {
        if (!*alive)
            return;
        if (answer.has_value() || tries >= maxTries) {
            done(answer);
            return;
        }
        m_loads[name].avoidUntil = m_timers.now() + avoidTime;
        tryOnce(step, workers, timeout, tries + 1, done);
    };
    const auto member = m_membership.members().find(name);
    if (name == m_membership.self().name || member == m_membership.members().end())
        m_local.advise(step, workers, timeout + waiting, std::move(finished));
    else
        askPeer(member->second, step, workers, timeout + waiting, std::move(finished));
}

void AdviceSpreader::askPeer(const MemberRecord &member, const std::string &step,
                             const std::vector<std::string> &workers, Duration timeout,
                             Done<Result<Advice>> done)
{
    const AdviceQuestion question{ step, workers, timeout };
    m_peers.call({ member.address, "POST", "/peer/advise", encode(question), timeout },
                 [done = std::move(done),
                  address = member.address](const Result<PeerAnswer> &answer) {
                     if (!answer.has_value()) {
                         done(answer.error());
                         return;
                     }
                     auto advice = decodeAdvice(answer.value().body);
                     if (answer.value().status == 200 && advice)
                         done(std::move(*advice));
                     else
                         done(Error{ ErrorKind::Unavailable, "peer.advise", address,
                                     "status " + std::to_string(answer.value().status) });
                 });
}

} // namespace cowsliprock::cell
