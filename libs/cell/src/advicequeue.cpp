#include "advicequeue.h"

#include "peermessages.h"

#include <algorithm>
#include <utility>

namespace cowsliprock::cell {

namespace {

constexpr std::uint32_t maxTries = 3;
/// Beyond the expected time of an answer, and the questions of the daemon before it.
constexpr std::chrono::milliseconds timeoutReserve{ 450 };
/// An answer that did not come in time would have taken half as long again, as far as is known.
constexpr int backoffNumerator = 3;
constexpr int backoffDenominator = 2;
/// A daemon gets its next question this long before the last one is answered.
constexpr std::chrono::milliseconds overlap{ 25 };
/// One daemon in this many takes no slow questions.
constexpr std::size_t quickShare = 3;
/// A daemon that did not answer is not asked for this long, doubled with each failure in a row.
constexpr std::chrono::seconds avoidTime{ 2 };
constexpr std::uint32_t maxDoublings = 3;
constexpr std::chrono::milliseconds idleDispatch{ 10 };

} // namespace

AdviceQueue::AdviceQueue(AdvicePort &local, PeerPort &peers, Timers &timers, Membership &membership)
    : m_local(local)
    , m_peers(peers)
    , m_timers(timers)
    , m_membership(membership)
{ }

AdviceQueue::~AdviceQueue()
{
    *m_alive = false;
}

bool AdviceQueue::accepts(Duration expected)
{
    return m_waiting.empty() && !freeAsker(expected > slowQuestion).empty();
}

void AdviceQueue::advise(const AdviceRequest &request, Done<Result<Advice>> done)
{
    enqueue({ request, 0, std::move(done) });
    dispatch();
}

void AdviceQueue::enqueue(Entry entry)
{
    auto &line = m_waiting[entry.request.priority];
    // A repeated question goes before those of its priority that were not tried yet.
    if (entry.tries > 0)
        line.push_front(std::move(entry));
    else
        line.push_back(std::move(entry));
}

std::vector<const std::string *> AdviceQueue::askers() const
{
    const auto now = m_timers.now();
    const auto &self = m_membership.self().name;
    std::vector<const std::string *> all{ &self };
    for (const auto &[name, member] : m_membership.members()) {
        if (name != self)
            all.push_back(&name);
    }
    std::vector<const std::string *> trusted;
    for (const auto *name : all) {
        const auto asker = m_askers.find(*name);
        if (asker == m_askers.end() || asker->second.avoidUntil <= now)
            trusted.push_back(name);
    }
    // If most of them failed, this daemon's own link is what is slow.
    return 2 * trusted.size() >= all.size() ? trusted : all;
}

std::string AdviceQueue::freeAsker(bool slow)
{
    const auto now = m_timers.now();
    const auto usable = askers();
    std::size_t slowNow = 0;
    const std::string *best = nullptr;
    TimePoint bestFree = now + overlap;
    for (const auto *name : usable) {
        const auto &asker = m_askers[*name];
        slowNow += asker.slowUntil > now ? 1 : 0;
        if (asker.busyUntil < bestFree || (best == nullptr && asker.busyUntil == bestFree)) {
            best = name;
            bestFree = asker.busyUntil;
        }
    }
    const std::size_t quick =
        usable.size() > 1 ? std::max<std::size_t>(1, usable.size() / quickShare) : 0;
    if (slow && slowNow + quick >= usable.size() && usable.size() > 1)
        return {};
    return best == nullptr ? std::string() : *best;
}

void AdviceQueue::dispatch()
{
    bool slowMayGo = true;
    for (auto &[priority, line] : m_waiting) {
        for (auto entry = line.begin(); entry != line.end();) {
            const bool slow = entry->request.expected > slowQuestion;
            if (slow && !slowMayGo) {
                ++entry;
                continue;
            }
            const auto asker = freeAsker(slow);
            if (asker.empty() && !slow) {
                scheduleDispatch(idleDispatch);
                return;
            }
            if (asker.empty()) {
                slowMayGo = false;
                continue;
            }
            Entry next = std::move(*entry);
            entry = line.erase(entry);
            send(std::move(next), asker);
        }
    }
    std::erase_if(m_waiting, [](const auto &line) { return line.second.empty(); });
    if (!m_waiting.empty())
        scheduleDispatch(idleDispatch);
}

void AdviceQueue::scheduleDispatch(Duration delay)
{
    const auto due = m_timers.now() + delay;
    if (m_nextDispatch > m_timers.now() && m_nextDispatch <= due)
        return;
    m_nextDispatch = due;
    m_timers.after(delay, [this, alive = m_alive] {
        if (*alive)
            dispatch();
    });
}

void AdviceQueue::send(Entry entry, const std::string &name)
{
    const auto now = m_timers.now();
    auto &asker = m_askers[name];
    const Duration before = std::max(asker.busyUntil, now) - now;
    asker.busyUntil = now + before + entry.request.expected;
    if (entry.request.expected > slowQuestion)
        asker.slowUntil = asker.busyUntil;
    ++entry.tries;
    const AdviceRequest request = entry.request;
    const Duration reserve = std::max<Duration>(m_delays.timeout(), timeoutReserve);
    const Duration timeout = before + request.expected + reserve;
    auto done = [this, alive = m_alive, entry = std::move(entry), name, reserve,
                 due = now + before + request.expected](const Result<Advice> &answer) {
        if (!*alive)
            return;
        if (answer.has_value())
            m_delays.observe(std::max(m_timers.now() - due, Duration::zero()));
        else
            noteFailure(m_askers[name], reserve, answer.error());
        answered(entry, name, answer);
    };
    const auto member = m_membership.members().find(name);
    if (name == m_membership.self().name || member == m_membership.members().end())
        m_local.advise(request.step, request.workers, timeout, std::move(done));
    else
        askPeer(member->second, request, timeout, std::move(done));
}

void AdviceQueue::answered(Entry entry, const std::string &name, const Result<Advice> &answer)
{
    if (answer.has_value()) {
        m_askers[name].failures = 0;
    } else if (entry.tries < maxTries) {
        enqueue(std::move(entry));
        dispatch();
        return;
    }
    entry.done(answer);
    dispatch();
}

void AdviceQueue::noteFailure(Asker &asker, Duration reserve, const Error &error)
{
    const auto doublings = std::min(asker.failures, maxDoublings);
    asker.avoidUntil = m_timers.now() + avoidTime * (1U << doublings);
    ++asker.failures;
    // The answer may only be late, as with a full link: the next ones are waited for longer.
    if (error.kind == ErrorKind::Timeout)
        m_delays.observe(reserve * backoffNumerator / backoffDenominator);
}

void AdviceQueue::askPeer(const MemberRecord &member, const AdviceRequest &request,
                          Duration timeout, Done<Result<Advice>> done)
{
    const AdviceQuestion question{ request.step, request.workers, timeout };
    m_peers.call(
        { member.address, "POST", "/peer/advise", encode(question), timeout },
        [done = std::move(done), address = member.address](const Result<PeerAnswer> &answer) {
            if (!answer.has_value()) {
                done(answer.error());
                return;
            }
            auto advice = decodeAdvice(answer.value().body);
            if (answer.value().status == statusOk && advice)
                done(std::move(*advice));
            else
                done(Error{ ErrorKind::Unavailable, "peer.advise", address,
                            "status " + std::to_string(answer.value().status) });
        });
}

} // namespace cowsliprock::cell
