#include "advicequeue.h"

#include "peermessages.h"

#include <algorithm>
#include <utility>

namespace cowsliprock::cell {

namespace {

constexpr std::uint32_t maxAttempts = 3;
/// Added to the expected decision time and to the backlog of the daemon.
constexpr std::chrono::milliseconds timeoutReserve{ 450 };
/// The delay of a timed-out request is unknown; it counts as 1.5 times the reserve.
constexpr int backoffNumerator = 3;
constexpr int backoffDenominator = 2;
/// A daemon receives its next request this long before the current one is due.
constexpr std::chrono::milliseconds dispatchLead{ 25 };
/// One daemon in this many accepts no slow requests.
constexpr std::size_t fastDaemonDivisor = 3;
/// Initial back-off after a failed request; doubles with each consecutive failure.
constexpr std::chrono::seconds baseBackoff{ 2 };
constexpr std::uint32_t maxBackoffDoublings = 3;
constexpr std::chrono::milliseconds dispatchRetryInterval{ 10 };

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
    return m_waiting.empty() && !selectDaemon(expected > slowRequestThreshold).empty();
}

void AdviceQueue::advise(const AdviceRequest &request, Done<Result<Advice>> done)
{
    enqueue({ request, 0, std::move(done) });
    dispatch();
}

void AdviceQueue::enqueue(Entry entry)
{
    auto &bucket = m_waiting[entry.request.priority];
    // Retries go ahead of first attempts of the same priority.
    if (entry.attempts > 0)
        bucket.push_front(std::move(entry));
    else
        bucket.push_back(std::move(entry));
}

std::vector<const std::string *> AdviceQueue::eligibleDaemons() const
{
    const auto now = m_timers.now();
    const auto &self = m_membership.self().name;
    std::vector<const std::string *> all{ &self };
    for (const auto &[name, member] : m_membership.members()) {
        if (name != self)
            all.push_back(&name);
    }
    std::vector<const std::string *> responsive;
    for (const auto *name : all) {
        const auto daemon = m_daemons.find(*name);
        if (daemon == m_daemons.end() || daemon->second.backoffUntil <= now)
            responsive.push_back(name);
    }
    // If most daemons have failed, the link of this daemon is the likely cause, so all stay
    // eligible.
    return 2 * responsive.size() >= all.size() ? responsive : all;
}

std::string AdviceQueue::selectDaemon(bool slow)
{
    const auto now = m_timers.now();
    const auto usable = eligibleDaemons();
    std::size_t slowInProgress = 0;
    const std::string *best = nullptr;
    TimePoint bestFree = now + dispatchLead;
    for (const auto *name : usable) {
        const auto &daemon = m_daemons[*name];
        slowInProgress += daemon.slowUntil > now ? 1 : 0;
        if (daemon.busyUntil < bestFree || (best == nullptr && daemon.busyUntil == bestFree)) {
            best = name;
            bestFree = daemon.busyUntil;
        }
    }
    const std::size_t reservedFast =
        usable.size() > 1 ? std::max<std::size_t>(1, usable.size() / fastDaemonDivisor) : 0;
    if (slow && slowInProgress + reservedFast >= usable.size() && usable.size() > 1)
        return {};
    return best == nullptr ? std::string() : *best;
}

void AdviceQueue::dispatch()
{
    bool slowAllowed = true;
    for (auto &[priority, bucket] : m_waiting) {
        for (auto entry = bucket.begin(); entry != bucket.end();) {
            const bool slow = entry->request.expected > slowRequestThreshold;
            if (slow && !slowAllowed) {
                ++entry;
                continue;
            }
            const auto daemon = selectDaemon(slow);
            if (daemon.empty() && !slow) {
                scheduleDispatch(dispatchRetryInterval);
                return;
            }
            if (daemon.empty()) {
                slowAllowed = false;
                continue;
            }
            Entry next = std::move(*entry);
            entry = bucket.erase(entry);
            send(std::move(next), daemon);
        }
    }
    std::erase_if(m_waiting, [](const auto &bucket) { return bucket.second.empty(); });
    if (!m_waiting.empty())
        scheduleDispatch(dispatchRetryInterval);
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
    auto &daemon = m_daemons[name];
    const Duration backlog = std::max(daemon.busyUntil, now) - now;
    daemon.busyUntil = now + backlog + entry.request.expected;
    if (entry.request.expected > slowRequestThreshold)
        daemon.slowUntil = daemon.busyUntil;
    ++entry.attempts;
    const AdviceRequest request = entry.request;
    const Duration reserve = std::max<Duration>(m_answerDelays.timeout(), timeoutReserve);
    const Duration timeout = backlog + request.expected + reserve;
    auto done = [this, alive = m_alive, entry = std::move(entry), name, reserve,
                 due = now + backlog + request.expected](const Result<Advice> &answer) {
        if (!*alive)
            return;
        if (answer.has_value())
            m_answerDelays.observe(std::max(m_timers.now() - due, Duration::zero()));
        else
            recordFailure(m_daemons[name], reserve, answer.error());
        handleAnswer(entry, name, answer);
    };
    const auto member = m_membership.members().find(name);
    if (name == m_membership.self().name || member == m_membership.members().end())
        m_local.advise(request.step, request.workers, timeout, std::move(done));
    else
        queryPeer(member->second, request, timeout, std::move(done));
}

void AdviceQueue::handleAnswer(Entry entry, const std::string &name, const Result<Advice> &answer)
{
    if (answer.has_value()) {
        m_daemons[name].failures = 0;
    } else if (entry.attempts < maxAttempts) {
        enqueue(std::move(entry));
        dispatch();
        return;
    }
    entry.done(answer);
    dispatch();
}

void AdviceQueue::recordFailure(DaemonState &daemon, Duration reserve, const Error &error)
{
    const auto doublings = std::min(daemon.failures, maxBackoffDoublings);
    daemon.backoffUntil = m_timers.now() + baseBackoff * (1U << doublings);
    ++daemon.failures;
    // The answer may only be late, as on a congested link: allow more time for the next ones.
    if (error.kind == ErrorKind::Timeout)
        m_answerDelays.observe(reserve * backoffNumerator / backoffDenominator);
}

void AdviceQueue::queryPeer(const MemberRecord &member, const AdviceRequest &request,
                            Duration timeout, Done<Result<Advice>> done)
{
    const PeerAdviceRequest question{ request.step, request.workers, timeout };
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
