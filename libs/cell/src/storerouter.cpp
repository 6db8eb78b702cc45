#include "storerouter.h"

#include "keys.h"
#include "peermessages.h"

#include <algorithm>
#include <utility>

namespace cowsliprock::cell {

namespace {

/// Time of another daemon for a call of the store, beyond the wait of a watch.
constexpr std::chrono::milliseconds peerTimeout{ 700 };
/// Other daemons that are tried for one call.
constexpr std::size_t maxPeersTried = 3;
/// After these have all refused, calls fail at once for this long.
constexpr std::chrono::milliseconds noPeerPause{ 250 };
/// A store that does not answer is tried this often.
constexpr std::chrono::milliseconds probeInterval{ 150 };
/// A check that is this late was held up with the whole process, and the answers with it.
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
            done(errorOf(ErrorKind::Timeout, "an answer of another kind"));
    };
    if (!m_failing)
        callDirect(call, unpack);
    else
        callThroughPeer(
            std::make_shared<Detour>(Detour{ std::move(call), std::move(unpack), {}, false }));
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
        done(errorOf(ErrorKind::Unavailable, "the store does not answer this daemon"));
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
    judge();
    // A call that was abandoned has been answered.
    if (!open.empty())
        open.mapped().done(result);
    resolveDoubt();
}

void StoreRouter::resolveDoubt()
{
    if (m_failing || !m_health.doubtful() || std::exchange(m_resolvingDoubt, true))
        return;
    callDirect(StoreReadCall{ keys::probe },
               [this](const Result<StoreReply> &) { m_resolvingDoubt = false; });
}

void StoreRouter::judge()
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
    // What waits for a silent store goes another way; a write may have taken effect.
    for (auto &[number, open] : std::exchange(m_open, {})) {
        if (isIdempotent(open.call))
            callThroughPeer(std::make_shared<Detour>(Detour{ open.call, open.done, {}, false }));
        else
            failLater(open.done, ErrorKind::Timeout, "the store is silent");
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
        judge();
        checkSilenceLater();
        return;
    }
    m_silenceCheckScheduled = true;
    m_ports.timers.after(checkTolerance, [this, alive = m_alive] {
        if (!*alive)
            return;
        m_silenceCheckScheduled = false;
        judge();
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

std::optional<std::string> StoreRouter::nextPeer(const Detour &detour) const
{
    const auto untried = [&detour](const std::string &address) {
        return std::find(detour.tried.begin(), detour.tried.end(), address) == detour.tried.end();
    };
    const auto addresses = m_peerAddresses();
    if (detour.tried.size() >= std::min(maxPeersTried, addresses.size()))
        return std::nullopt;
    const auto last = std::find(addresses.begin(), addresses.end(), m_peer);
    if (last != addresses.end() && untried(*last))
        return *last;
    const auto next = std::find_if(addresses.begin(), addresses.end(), untried);
    return next == addresses.end() ? std::nullopt : std::optional(*next);
}

void StoreRouter::callThroughPeer(const std::shared_ptr<Detour> &detour)
{
    if (m_ports.timers.now() < m_noPeerUntil) {
        failLater(detour->done, ErrorKind::Unavailable, "no daemon reaches the store");
        return;
    }
    const auto address = nextPeer(*detour);
    if (!address) {
        giveUp(*detour);
        return;
    }
    detour->tried.push_back(*address);
    m_ports.peers.call(
        { *address, "POST", "/peer/store", encode(detour->call),
          waitOf(detour->call) + peerTimeout },
        [this, alive = m_alive, detour, address = *address](const Result<PeerAnswer> &answer) {
            if (*alive)
                peerAnswered(detour, address, answer);
        });
}

void StoreRouter::peerAnswered(const std::shared_ptr<Detour> &detour, const std::string &address,
                               const Result<PeerAnswer> &answer)
{
    const bool answered = answer.has_value();
    detour->heard = detour->heard || answered;
    if (answered && answer.value().status == statusOk) {
        if (const auto reply = decodeStoreReply(answer.value().body)) {
            if (std::exchange(m_peer, address) != address)
                m_ports.log.write(m_ports.timers.now(), "store.throughPeer",
                                  { { "peer", address } });
            m_unavailableSince.reset();
            m_isolated = false;
            detour->done(*reply);
            return;
        }
    }
    // The other daemon refuses what it does not pass on; of anything else a write may have come.
    const bool passedOn =
        answered ? answer.value().status != statusUnavailable : mayHaveTakenEffect(answer.error());
    if (passedOn && !isIdempotent(detour->call)) {
        detour->done(errorOf(ErrorKind::Timeout, "no answer through another daemon"));
        return;
    }
    if (m_peer == address)
        m_peer.clear();
    callThroughPeer(detour);
}

void StoreRouter::giveUp(Detour &detour)
{
    const auto now = m_ports.timers.now();
    m_noPeerUntil = now + noPeerPause;
    m_isolated = !detour.heard && !detour.tried.empty();
    if (!m_unavailableSince)
        m_unavailableSince = now;
    failLater(detour.done, ErrorKind::Unavailable, "no daemon reaches the store");
}

void StoreRouter::failLater(const CallDone &done, ErrorKind kind, const char *detail)
{
    m_ports.timers.after(Duration::zero(), [alive = m_alive, done, kind, detail] {
        if (*alive)
            done(errorOf(kind, detail));
    });
}

} // namespace cowsliprock::cell
