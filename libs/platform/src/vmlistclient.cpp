#include <platform/vmlistclient.h>

#include <kernel/serialization.h>

#include "connectionpool.h"

namespace cowsliprock {

class VmListClient::Private
{
public:
    Private(VmListClientSettings settings, const Clock &clock)
        : m_settings(std::move(settings))
        , m_clock(clock)
        , m_pool({ m_settings.connectTimeout, true, false }, std::chrono::seconds(4))
    { }

    [[nodiscard]] Result<event::VmList> fetch()
    {
        const HttpRequest request{
            "GET", "/v1/vms", { { "X-Client", m_settings.clientName } }, nullptr
        };
        ExchangeLimits limits;
        limits.deadline = std::chrono::steady_clock::now() + m_settings.callTimeout;
        const HttpExchange exchange = m_pool.exchange(m_settings.address, request, m_clock, limits);
        if (!exchange.answer)
            return error(exchange.failure, exchange.detail);
        if (exchange.answer->status != 200)
            return error(ErrorKind::Unavailable,
                         "status " + std::to_string(exchange.answer->status));
        auto entries = decodeVmList(exchange.answer->bytes);
        if (!entries)
            return error(ErrorKind::Invalid, entries.error().detail);
        return event::VmList{ std::move(entries).value() };
    }

private:
    [[nodiscard]] Error error(ErrorKind kind, std::string detail) const
    {
        return { kind, "vms.list", m_settings.address, std::move(detail) };
    }

    VmListClientSettings m_settings;
    const Clock &m_clock;
    ConnectionPool m_pool;
};

VmListClient::VmListClient(VmListClientSettings settings, const Clock &clock)
    : m_private(std::make_unique<Private>(std::move(settings), clock))
{ }

VmListClient::~VmListClient() = default;

Result<event::VmList> VmListClient::fetch()
{
    return m_private->fetch();
}

} // namespace cowsliprock
