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
    /// A connection that was idle for longer is not used again. Well below the 5 s after which
    /// endpoints close idle connections.
    Duration maxIdle{ std::chrono::seconds(2) };
    std::size_t maxAnswerBytes = std::size_t{ 16 } << 20U; ///< Longer answers are cut: Unknown.
};

struct EndpointResult
{
    event::EndpointReply reply; ///< The member body is left empty for the caller to fill in.
    Body body;                  ///< Of a whole answer.
};

/// Sends requests to endpoints. Thread-safe; a call blocks its thread until the answer or until the
/// request's timeLeft has passed. Nothing is sent twice.
///
/// Headers and body are separate writes, each preceded by the check that the clock is before
/// validUntil. A POST, PUT or PATCH without a body is sent as an empty chunked body, so that its
/// end is a write of its own. The other methods without a body consist of one write on a connection
/// that is already open; for them only the endpoint's limit on idle connections bounds how late the
/// write can take effect. An answer that arrives before the request is complete shows that the
/// endpoint does not wait for bodies: the outcome is Unknown, unless it is a refusal.
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
