#pragma once

#include <base/error.h>
#include <base/time.h>
#include <kernel/events.h>

#include <memory>
#include <string>

namespace cowsliprock {

struct VmListClientSettings
{
    std::string address;    ///< "host:port" of the platform.
    std::string clientName; ///< Sent as X-Client.
    Duration connectTimeout{ std::chrono::milliseconds(500) };
    Duration callTimeout{ std::chrono::seconds(2) };
};

/// Fetches the platform's list of VMs. Thread-safe; fetch() blocks its thread.
class VmListClient
{
public:
    /// The clock must outlive the client.
    VmListClient(VmListClientSettings settings, const Clock &clock);
    ~VmListClient();
    VmListClient(const VmListClient &) = delete;
    VmListClient &operator=(const VmListClient &) = delete;

    /// Fails with Unavailable or Timeout on transport errors, Unavailable on a status other than
    /// 200, and Invalid on a malformed list.
    [[nodiscard]] Result<event::VmList> fetch();

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace cowsliprock
