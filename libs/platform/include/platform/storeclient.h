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
    Duration watchTime{ std::chrono::seconds(25) }; ///< Time limit of a watch.

    /// Told of each call that ends as Unavailable; called by the thread that executes the call.
    std::function<void(const Error &)> onError = [](const Error &) {};
};

/// Executes store calls over HTTP. Thread-safe; each call blocks its thread until the reply.
class StoreClient
{
public:
    /// The clock must outlive the client.
    StoreClient(StoreClientSettings settings, const Clock &clock);
    ~StoreClient();
    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;

    /// Status Unavailable covers transport errors, timeouts and every unexpected answer; a write
    /// may then have taken effect. A watch without a change gives Ok with the known version and an
    /// empty value. sentAt is read before the first byte is written. Nothing is sent twice.
    [[nodiscard]] event::StoreReply execute(const effect::StoreCall &call);

    /// Ends the calls in progress, and every later one, as Unavailable. Without it, a waiting watch
    /// delays the end of its thread by up to watchTime.
    void cancel() noexcept;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace cowsliprock
