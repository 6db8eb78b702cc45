#pragma once

#include <base/error.h>
#include <base/time.h>
#include <kernel/effects.h>
#include <kernel/events.h>
#include <platform/body.h>

#include <memory>
#include <string>

namespace cowsliprock {

struct EndpointClientSettings
{
    std::string clientName; ///< Sent as X-Client.
    Duration connectTimeout{ std::chrono::milliseconds(500) };
    /// Connections that were idle for longer are not reused. Well below the 5 s after which
    /// endpoints close idle connections.
    Duration maxIdle{ std::chrono::seconds(2) };
    std::size_t maxAnswerBytes = std::size_t{ 16 } << 20U; ///< Longer responses yield Unknown.
};

struct EndpointResult
{
    event::EndpointReply reply; ///< The caller fills in the member body, which is left empty.
    Body body;                  ///< Set if the response is complete.
};

/// Sends requests to endpoints. Thread-safe; a call blocks its thread until the response arrives or
/// the request's timeLeft has elapsed. Requests are never retransmitted.
///
/// Headers and body are written separately, and before each write the clock is checked against
/// validUntil. A POST, PUT or PATCH without a body is sent with an empty chunked body, so that its
/// end is a separate write. Requests of other methods without a body are a single write on an open
/// connection; for these, only the endpoint's limit on idle connections bounds how late the write
/// can take effect. A response that arrives before the request is complete shows that the endpoint
/// does not wait for bodies: the outcome is Unknown, unless the response is a refusal.
class EndpointClient
{
public:
    /// The clock must outlive the client.
    EndpointClient(EndpointClientSettings settings, const Clock &clock);
    ~EndpointClient();
    EndpointClient(const EndpointClient &) = delete;
    EndpointClient &operator=(const EndpointClient &) = delete;

    [[nodiscard]] EndpointResult call(const effect::CallEndpoint &effect, const Body &body);

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace cowsliprock
