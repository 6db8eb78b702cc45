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

/// Routes store calls: directly or, while the store does not respond to this daemon, through
/// another daemon that can reach it. In a partial outage, calls do not have to wait for their
/// timeouts; in a full outage, calls that cannot succeed are rejected immediately.
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

    /// Returns the addresses of the other daemons, in order of preference.
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
    /// Direct only: if the call is lost, the lease expires by itself.
    void endLease(std::uint64_t lease) override { m_ports.store.endLease(lease); }

    /// Makes a call on behalf of another daemon, directly only.
    void serve(const StoreCall &call, const Done<Result<StoreReply>> &done);

    /// True while the store responds to this daemon.
    [[nodiscard]] bool direct() const noexcept { return !m_failing; }

    /// False while the store can be reached neither directly nor through another daemon. A call
    /// made in this state fails immediately and has no effect.
    [[nodiscard]] bool available() const;

    /// True if there are other daemons but none of them responded to the last attempt.
    [[nodiscard]] bool isolated() const noexcept { return m_failing && m_isolated; }

    /// How long the store has been unavailable; zero while it is available.
    [[nodiscard]] Duration outage() const;

private:
    using CallDone = Done<Result<StoreReply>>;

    /// A direct call that is waiting for its response.
    struct OpenCall
    {
        StoreCall call;
        CallDone done;
    };

    /// A call that is forwarded through other daemons.
    struct ForwardedCall
    {
        StoreCall call;
        CallDone done;
        std::vector<std::string> tried;
        bool peerResponded = false; ///< Another daemon has responded.
    };

    template <typename Reply, typename T>
    void route(StoreCall call, Done<Result<T>> done);
    void callDirect(const StoreCall &call, const CallDone &done);
    void directEnded(StoreHealth::CallNumber number, const Result<StoreReply> &result);
    /// Probes the store immediately after a failure, since one lost call is not an outage.
    void verifyFailure();
    void updateHealth();
    void directLost();
    void checkSilenceLater();
    void checkSilence(TimePoint due);
    void probe();
    void forwardToPeer(const std::shared_ptr<ForwardedCall> &forwarded);
    void peerAnswered(const std::shared_ptr<ForwardedCall> &forwarded, const std::string &address,
                      const Result<PeerAnswer> &answer);
    void failForwarded(ForwardedCall &forwarded);
    /// The daemon that forwarded the last call, then the one whose last failure is the oldest.
    [[nodiscard]] std::optional<std::string> nextPeer(const ForwardedCall &forwarded) const;
    [[nodiscard]] TimePoint lastFailureOf(const std::string &address) const;
    void postFailure(const CallDone &done, ErrorKind kind, const char *detail);

    Ports m_ports;
    PeerAddresses m_peerAddresses;
    StoreHealth m_health;
    std::map<StoreHealth::CallNumber, OpenCall> m_open;
    bool m_failing = false;
    bool m_isolated = false;
    bool m_silenceCheckScheduled = false;
    bool m_verifyingFailure = false;
    std::string m_peer; ///< Address of the daemon that forwarded the last call.
    /// When each daemon last failed to forward a call, since the store ceased to respond directly.
    std::map<std::string, TimePoint> m_peerFailures;
    TimePoint m_noPeerUntil{};
    std::optional<TimePoint> m_unavailableSince;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowsliprock::cell
