#pragma once

#include "storecalls.h"
#include "storehealth.h"

#include <cell/ports.h>

#include <base/eventlog.h>
#include <base/metrics.h>
#include <eventloop/timers.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cowsliprock::cell {

/// The way to the store: direct or, while the store does not answer this daemon, through another
/// daemon that it answers. Load it answers: partial outages, in which each call would wait for its
/// timeout, and outages for all, in which calls that cannot succeed are refused at once.
class StoreRouter : public StorePort
{
public:
    struct Ports
    {
        StorePort &store;
        PeerPort &peers;
        Timers &timers;
        EventLog &log;
        Metrics &metrics;
    };

    /// Addresses of the other daemons, in the order in which they are to be tried.
    using PeerAddresses = std::function<std::vector<std::string>()>;

    StoreRouter(const Ports &ports, PeerAddresses peerAddresses);
    ~StoreRouter() override;
    StoreRouter(const StoreRouter &) = delete;
    StoreRouter &operator=(const StoreRouter &) = delete;

    void read(const std::string &key, Done<Result<std::optional<StoreItem>>> done) override;
    void list(const std::string &prefix, const std::string &after,
              Done<Result<StorePage>> done) override;
    void watch(const std::string &prefix, std::uint64_t after, Duration wait,
               Done<Result<StoreEvents>> done) override;
    void commit(const Transaction &transaction, Done<Result<TransactionOutcome>> done) override;
    void grantLease(Duration timeToLive, Done<Result<std::uint64_t>> done) override;
    void keepLease(std::uint64_t lease, Done<Result<bool>> done) override;
    /// Direct only: a lease whose end is lost runs out.
    void endLease(std::uint64_t lease) override { m_ports.store.endLease(lease); }

    /// Makes a call for another daemon: direct or not at all.
    void serve(const StoreCall &call, const Done<Result<StoreReply>> &done);

    /// True while the store answers this daemon.
    [[nodiscard]] bool direct() const noexcept { return !m_failing; }

    /// False while neither the store nor any daemon that reaches it answers. A call that is made
    /// all the same fails at once, and is not carried out.
    [[nodiscard]] bool available() const;

    /// True if at the last attempt not even another daemon answered, though there are some.
    [[nodiscard]] bool isolated() const noexcept { return m_failing && m_isolated; }

    /// How long the store has been unavailable; zero while it is not.
    [[nodiscard]] Duration outage() const;

private:
    using CallDone = Done<Result<StoreReply>>;

    /// A direct call without an answer.
    struct OpenCall
    {
        StoreCall call;
        CallDone done;
    };

    /// A call through other daemons.
    struct Detour
    {
        StoreCall call;
        CallDone done;
        std::vector<std::string> tried;
        bool heard = false; ///< Another daemon has answered.
    };

    template <typename Reply, typename T>
    void route(StoreCall call, Done<Result<T>> done);
    void callDirect(const StoreCall &call, const CallDone &done);
    void directEnded(StoreHealth::CallNumber number, const Result<StoreReply> &result);
    /// Asks again at once after a failure: one lost call is no outage.
    void resolveDoubt();
    void judge();
    void directLost();
    void checkSilenceLater();
    void checkSilence(TimePoint due);
    void probe();
    void callThroughPeer(const std::shared_ptr<Detour> &detour);
    void peerAnswered(const std::shared_ptr<Detour> &detour, const std::string &address,
                      const Result<PeerAnswer> &answer);
    void giveUp(Detour &detour);
    [[nodiscard]] std::optional<std::string> nextPeer(const Detour &detour) const;
    void failLater(const CallDone &done, ErrorKind kind, const char *detail);

    Ports m_ports;
    PeerAddresses m_peerAddresses;
    StoreHealth m_health;
    std::map<StoreHealth::CallNumber, OpenCall> m_open;
    bool m_failing = false;
    bool m_isolated = false;
    bool m_silenceCheckScheduled = false;
    bool m_resolvingDoubt = false;
    std::string m_peer; ///< Through which the last call went.
    TimePoint m_noPeerUntil{};
    std::optional<TimePoint> m_unavailableSince;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowsliprock::cell
