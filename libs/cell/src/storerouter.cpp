#include "storerouter.h"

#include "keys.h"
#include "peermessages.h"

#include <algorithm>
#include <utility>

namespace cowsliprock::cell {

namespace {

/// Timeout for a store call through another daemon, in addition to the wait of a watch.
constexpr std::chrono::milliseconds peerTimeout{ 700 };
/// Maximum number of other daemons tried for one call.
constexpr std::size_t maxPeersTried = 3;
/// After all of them have refused, calls fail immediately for this long.
constexpr std::chrono::milliseconds noPeerBackoff{ 250 };
/// Interval at which a store that does not respond is probed.
constexpr std::chrono::milliseconds probeInterval{ 150 };
/// A check that runs later than this was delayed because the whole process was stalled, as was the
/// processing of responses.
constexpr std::chrono::milliseconds checkTolerance{ 100 };

template <typename T>
const T &valueOf(const T &reply) noexcept
{
    return reply;
}

std::uint64_t valueOf(const LeaseGranted &reply) noexcept
{
    return reply.lease;
}

bool valueOf(const LeaseKept &reply) noexcept
{
    return reply.kept;
}

Error errorOf(ErrorKind kind, const char *detail)
{
    return Error{ kind, "store.call", "", detail };
}

} // namespace

StoreRouter::StoreRouter(const Ports &ports, PeerAddresses peerAddresses)
    : m_ports(ports)
    , m_peerAddresses(std::move(peerAddresses))
{ }

StoreRouter::~StoreRouter()
{
    *m_alive = false;
}

template <typename Reply, typename T>
void StoreRouter::route(StoreCall call, Done<Result<T>> done)
{
    CallDone unpack = [done = std::move(done)](const Result<StoreReply> &result) {
        if (!result.has_value())
            done(result.error());
        else if (const auto *reply = std::get_if<Reply>(&result.value()))
            done(Result<T>(valueOf(*reply)));
        else
            done(errorOf(ErrorKind::Timeout, "unexpected type of reply"));
    };
    if (!m_failing)
        callDirect(call, unpack);
    else
        forwardToPeer(std::make_shared<ForwardedCall>(
            ForwardedCall{ std::move(call), std::move(unpack), {}, false }));
}

void StoreRouter::read(const std::string &key, Done<Result<std::optional<StoreItem>>> done)
{
    route<std::optional<StoreItem>>(StoreReadCall{ key }, std::move(done));
}

void StoreRouter::list(const std::string &prefix, const std::string &after,
                       Done<Result<StorePage>> done)
{
    route<StorePage>(StoreListCall{ prefix, after }, std::move(done));
}

void StoreRouter::watch(const std::string &prefix, std::uint64_t after, Duration wait,
                        Done<Result<StoreEvents>> done)
{
    route<StoreEvents>(StoreWatchCall{ prefix, after, wait }, std::move(done));
}

void StoreRouter::commit(const Transaction &transaction, Done<Result<TransactionOutcome>> done)
{
    route<TransactionOutcome>(StoreCommitCall{ transaction }, std::move(done));
}

void StoreRouter::grantLease(Duration timeToLive, Done<Result<std::uint64_t>> done)
{
    route<LeaseGranted>(StoreGrantCall{ timeToLive }, std::move(done));
}

void StoreRouter::keepLease(std::uint64_t lease, Done<Result<bool>> done)
{
    route<LeaseKept>(StoreKeepCall{ lease }, std::move(done));
}

void StoreRouter::serve(const StoreCall &call, const Done<Result<StoreReply>> &done)
{
    if (m_failing)
        done(errorOf(ErrorKind::Unavailable, "store does not respond to this daemon"));
    else
        callDirect(call, done);
}

bool StoreRouter::available() const
{
    return !m_failing || m_ports.timers.now() >= m_noPeerUntil;
}

Duration StoreRouter::outage() const
{
    return m_unavailableSince ? m_ports.timers.now() - *m_unavailableSince : Duration::zero();
}

void StoreRouter::callDirect(const StoreCall &call, const CallDone &done)
{
    const bool waits = waitOf(call) > Duration::zero();
    const auto number = m_health.sent(m_ports.timers.now(), waits);
    m_open.emplace(number, OpenCall{ call, done });
    perform(call, m_ports.store, [this, alive = m_alive, number](const Result<StoreReply> &result) {
        if (*alive)
            directEnded(number, result);
    });
    checkSilenceLater();
}

void StoreRouter::directEnded(StoreHealth::CallNumber number, const Result<StoreReply> &result)
{
    const auto now = m_ports.timers.now();
    if (result.has_value())
        m_health.answered(number, now);
    else if (mayHaveTakenEffect(result.error()))
        m_health.unanswered(number, now);
    else
        m_health.refused(number, now);
    const auto open = m_open.extract(number);
    updateHealth();
    // An abandoned call has already been completed.
    if (!open.empty())
        open.mapped().done(result);
    verifyFailure();
}

void StoreRouter::verifyFailure()
{
    if (m_failing || !m_health.suspect() || std::exchange(m_verifyingFailure, true))
        return;
    callDirect(StoreReadCall{ keys::probe },
               [this](const Result<StoreReply> &) { m_verifyingFailure = false; });
}

void StoreRouter::updateHealth()
{
    const bool failing = m_health.failing(m_ports.timers.now());
    if (failing == m_failing)
        return;
    m_failing = failing;
    m_ports.log.write(m_ports.timers.now(), failing ? "store.directLost" : "store.directRegained",
                      {});
    if (failing) {
        directLost();
        return;
    }
    m_isolated = false;
    m_unavailableSince.reset();
    m_peerFailures.clear();
}

void StoreRouter::directLost()
{
    m_ports.metrics.count("store.directLost");
    m_noPeerUntil = {};
    m_ports.timers.after(probeInterval, [this, alive = m_alive] {
        if (*alive)
            probe();
    });
    if (!m_health.silent(m_ports.timers.now()))
        return;
    // Pending idempotent calls are rerouted. A write may already have taken effect, so its outcome
    // is reported as unknown.
    for (auto &[number, open] : std::exchange(m_open, {})) {
        if (isIdempotent(open.call))
            forwardToPeer(
                std::make_shared<ForwardedCall>(ForwardedCall{ open.call, open.done, {}, false }));
        else
            postFailure(open.done, ErrorKind::Timeout, "store does not respond");
    }
}

void StoreRouter::checkSilenceLater()
{
    const auto due = m_health.silentAt();
    if (m_failing || !due || std::exchange(m_silenceCheckScheduled, true))
        return;
    const auto delay = std::max<Duration>(*due - m_ports.timers.now(), Duration::zero());
    m_ports.timers.after(delay, [this, alive = m_alive, due = *due] {
        if (!*alive)
            return;
        m_silenceCheckScheduled = false;
        checkSilence(due);
    });
}

void StoreRouter::checkSilence(TimePoint due)
{
    if (m_ports.timers.now() <= due + checkTolerance) {
        updateHealth();
        checkSilenceLater();
        return;
    }
    m_silenceCheckScheduled = true;
    m_ports.timers.after(checkTolerance, [this, alive = m_alive] {
        if (!*alive)
            return;
        m_silenceCheckScheduled = false;
        updateHealth();
        checkSilenceLater();
    });
}

void StoreRouter::probe()
{
    if (!m_failing)
        return;
    callDirect(StoreReadCall{ keys::probe }, [](const Result<StoreReply> &) {});
    m_ports.timers.after(probeInterval, [this, alive = m_alive] {
        if (*alive)
            probe();
    });
}

std::optional<std::string> StoreRouter::nextPeer(const ForwardedCall &forwarded) const
{
    const auto untried = [&forwarded](const std::string &address) {
        return std::find(forwarded.tried.begin(), forwarded.tried.end(), address)
            == forwarded.tried.end();
    };
    const auto addresses = m_peerAddresses();
    if (forwarded.tried.size() >= std::min(maxPeersTried, addresses.size()))
        return std::nullopt;
    const auto last = std::find(addresses.begin(), addresses.end(), m_peer);
    if (last != addresses.end() && untried(*last))
        return *last;
    const auto next = std::min_element(addresses.begin(), addresses.end(),
                                       [&](const std::string &left, const std::string &right) {
                                           return std::pair(!untried(left), lastFailureOf(left))
                                               < std::pair(!untried(right), lastFailureOf(right));
                                       });
    return *next;
}

TimePoint StoreRouter::lastFailureOf(const std::string &address) const
{
    const auto failure = m_peerFailures.find(address);
    return failure == m_peerFailures.end() ? TimePoint() : failure->second;
}

void StoreRouter::forwardToPeer(const std::shared_ptr<ForwardedCall> &forwarded)
{
    if (m_ports.timers.now() < m_noPeerUntil) {
        postFailure(forwarded->done, ErrorKind::Unavailable, "no daemon can reach the store");
        return;
    }
    const auto address = nextPeer(*forwarded);
    if (!address) {
        failForwarded(*forwarded);
        return;
    }
    forwarded->tried.push_back(*address);
    m_ports.peers.call(
        { *address, "POST", "/peer/store", encode(forwarded->call),
          waitOf(forwarded->call) + peerTimeout },
        [this, alive = m_alive, forwarded, address = *address](const Result<PeerAnswer> &answer) {
            if (*alive)
                peerAnswered(forwarded, address, answer);
        });
}

void StoreRouter::peerAnswered(const std::shared_ptr<ForwardedCall> &forwarded,
                               const std::string &address, const Result<PeerAnswer> &answer)
{
    const bool answered = answer.has_value();
    forwarded->peerResponded = forwarded->peerResponded || answered;
    if (answered && answer.value().status == statusOk) {
        if (const auto reply = decodeStoreReply(answer.value().body)) {
            if (std::exchange(m_peer, address) != address)
                m_ports.log.write(m_ports.timers.now(), "store.throughPeer",
                                  { { "peer", address } });
            m_unavailableSince.reset();
            m_isolated = false;
            forwarded->done(*reply);
            return;
        }
    }
    // The other daemon responds with statusUnavailable if it has not made the call; in all other
    // cases a write may have reached the store.
    const bool mayHaveReachedStore =
        answered ? answer.value().status != statusUnavailable : mayHaveTakenEffect(answer.error());
    if (mayHaveReachedStore && !isIdempotent(forwarded->call)) {
        forwarded->done(
            errorOf(ErrorKind::Timeout, "no response to a call through another daemon"));
        return;
    }
    m_peerFailures[address] = m_ports.timers.now();
    if (m_peer == address)
        m_peer.clear();
    forwardToPeer(forwarded);
}

void StoreRouter::failForwarded(ForwardedCall &forwarded)
{
    const auto now = m_ports.timers.now();
    m_noPeerUntil = now + noPeerBackoff;
    m_isolated = !forwarded.peerResponded && !forwarded.tried.empty();
    if (!m_unavailableSince)
        m_unavailableSince = now;
    postFailure(forwarded.done, ErrorKind::Unavailable, "no daemon can reach the store");
}

void StoreRouter::postFailure(const CallDone &done, ErrorKind kind, const char *detail)
{
    m_ports.timers.after(Duration::zero(), [alive = m_alive, done, kind, detail] {
        if (*alive)
            done(errorOf(kind, detail));
    });
}

} // namespace cowsliprock::cell
