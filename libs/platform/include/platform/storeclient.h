#pragma once

#include <base/error.h>
#include <base/time.h>
#include <kernel/effects.h>
#include <kernel/events.h>

#include <functional>
#include <memory>
#include <string>

namespace cowsliprock {

struct StoreClientSettings
{
    std::string address;    ///< "host:port" of the platform.
    std::string clientName; ///< Sent as X-Client.
    Duration connectTimeout{ std::chrono::milliseconds(500) };
    Duration callTimeout{ std::chrono::seconds(2) };
    Duration watchTimeout{ std::chrono::seconds(25) }; ///< How long a watch waits for a change.

    /// Called for each call that ends as Unavailable, on the thread that executes the call.
    std::function<void(const Error &)> onError = [](const Error &) {};
};

/// Executes store calls over HTTP. Thread-safe; a call blocks its thread until the reply arrives.
class StoreClient
{
public:
    /// The clock must outlive the client.
    StoreClient(StoreClientSettings settings, const Clock &clock);
    ~StoreClient();
    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;

    /// Transport errors, timeouts and unexpected responses yield the status Unavailable; a write
    /// may then have taken effect. A watch without a change yields Ok with the known version and an
    /// empty value. sentAt is taken before the first byte is written. Calls are never
    /// retransmitted.
    [[nodiscard]] event::StoreReply execute(const effect::StoreCall &call);

    /// Makes the calls in progress and all later calls end as Unavailable. Otherwise a waiting
    /// watch delays the exit of its thread by up to watchTimeout.
    void cancel() noexcept;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace cowsliprock
