#pragma once

#include <base/time.h>
#include <kernel/identity.h>

#include <cstdint>
#include <string>
#include <vector>

namespace cowsliprock {

/// Address of a peer daemon, from the settings.
struct PeerAddress
{
    DaemonName name;
    Location location;
    std::string peerAddress; ///< "host:port" of the nng socket.
};

/// Settings of the decision logic.
struct KernelSettings
{
    DaemonIdentity self;
    Location location;
    std::string httpAddress;
    std::string peerAddress;
    std::vector<PeerAddress> peers; ///< All other daemons.
    std::uint64_t randomSeed = 1;
    std::uint32_t partitionsPerDataCentre = 6;
    /// Placement policies that a configuration may refer to.
    std::vector<std::string> placementPolicies{ "latency", "packing", "first-fit", "random" };

    Duration renewInterval{ std::chrono::seconds(2) };
    Duration leaseTime{ std::chrono::seconds(6) };
    Duration leaseMargin{ std::chrono::seconds(1) }; ///< Covers clock drift and transit time.
    /// Sum of the worker read timeout (5 s), the TCP user timeout (2 s) and a margin of 1 s.
    Duration quarantine{ std::chrono::seconds(8) };
    Duration maxOutageExtension{ std::chrono::hours(2) };
    Duration journalInterval{ std::chrono::milliseconds(170) }; ///< At most 6 writes per second.
    Duration identityRetention{ std::chrono::hours(24) };
    Duration heartbeatInterval{ std::chrono::milliseconds(333) };
    Duration farHeartbeatInterval{ std::chrono::seconds(5) };
    Duration peerTimeout{ std::chrono::seconds(5) };
    Duration pollInterval{ std::chrono::seconds(5) };
    Duration taskLease{ std::chrono::seconds(30) };
    Duration reservationTime{ std::chrono::seconds(2) };
    Duration drainLimit{ std::chrono::seconds(30) };
    std::uint32_t answerCacheEntries = 10'000;
};

} // namespace cowsliprock
