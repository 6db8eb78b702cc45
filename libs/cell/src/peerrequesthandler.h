#pragma once

#include "peermessages.h"
#include "relayagent.h"
#include "shard.h"
#include "storerouter.h"

#include <cell/ports.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace cowsliprock::cell {

/// Serves the requests of other daemons.
class PeerRequestHandler
{
public:
    struct Services
    {
        AdvicePort &advice;
        StoreRouter &store;
        RelayAgent &relay;
    };

    /// Access to the shards of this daemon. Shards that it does not own are null or return nothing.
    struct Shards
    {
        std::uint32_t count = 0;
        std::function<const Shard *(const std::string &job)> ofJob;
        std::function<const Shard *(std::uint32_t shard)> byNumber;
        /// Another daemon has stored a job.
        std::function<std::optional<AcceptedAnswer>(std::uint32_t shard, const StoreItem &item)>
            accepted;
        /// Another daemon has stored the cancellation of a job.
        std::function<void(const std::string &job)> cancelled;
        /// Promises the owner of the shard not to claim it.
        std::function<std::optional<PromiseAnswer>(std::uint32_t shard,
                                                   std::uint64_t ownershipRevision)>
            promise;
    };

    PeerRequestHandler(const Services &services, Shards shards);

    /// Calls \p done with the answer, possibly from within this function.
    void handle(const std::string &method, const std::string &path, const std::string &body,
                const Done<PeerAnswer> &done);

private:
    void get(const std::string &path, const Done<PeerAnswer> &done);
    void post(const std::string &path, const std::string &body, const Done<PeerAnswer> &done);
    void pending(const std::string &rest, const Done<PeerAnswer> &done);
    void advise(const std::string &body, const Done<PeerAnswer> &done);
    void relay(const std::string &body, const Done<PeerAnswer> &done);
    void accepted(const std::string &number, const std::string &body, const Done<PeerAnswer> &done);
    void store(const std::string &body, const Done<PeerAnswer> &done);
    void promise(const std::string &number, const std::string &body, const Done<PeerAnswer> &done);

    Services m_services;
    Shards m_shards;
};

} // namespace cowsliprock::cell
