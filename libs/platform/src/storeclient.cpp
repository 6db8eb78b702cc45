#include <platform/storeclient.h>

#include "connectionpool.h"

#include <nlohmann/json.hpp>

#include <sys/eventfd.h>
#include <unistd.h>

namespace cowsliprock {

namespace {

using nlohmann::json;
using Operation = effect::StoreCall::Operation;

// Below the 5 s after which the platform closes idle connections.
constexpr Duration maxIdle = std::chrono::seconds(4);

[[nodiscard]] const char *stepName(Operation operation) noexcept
{
    switch (operation) {
    case Operation::Get:
        return "store.get";
    case Operation::CompareAndSwap:
        return "store.compareAndSwap";
    case Operation::List:
        return "store.list";
    case Operation::Watch:
        return "store.watch";
    }
    return "store";
}

[[nodiscard]] std::string requestTarget(const effect::StoreCall &call, Duration watchTimeout)
{
    const std::string version = std::to_string(call.version);
    switch (call.operation) {
    case Operation::Get:
        return httplib::append_query_params("/v1/kv", { { "key", call.key } });
    case Operation::CompareAndSwap:
        return httplib::append_query_params("/v1/kv",
                                            { { "key", call.key }, { "version", version } });
    case Operation::List:
        return httplib::append_query_params("/v1/kv", { { "prefix", call.key } });
    case Operation::Watch:
        break;
    }
    const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(watchTimeout);
    return httplib::append_query_params("/v1/watch",
                                        { { "key", call.key },
                                          { "version", version },
                                          { "timeoutMs", std::to_string(limit.count()) } });
}

void readResponse(event::StoreReply &reply, const effect::StoreCall &call,
                  const HttpResponse &answer)
{
    using event::StoreStatus;
    if (answer.status == 304 && call.operation == Operation::Watch) {
        reply.status = StoreStatus::Ok;
        reply.version = call.version;
        return;
    }
    if (answer.status == 404 && call.operation == Operation::Get) {
        reply.status = StoreStatus::NotFound;
        return;
    }
    const bool conflict = answer.status == 409 && call.operation == Operation::CompareAndSwap;
    if (answer.status != 200 && !conflict)
        throw std::runtime_error("status " + std::to_string(answer.status));
    const json document = json::parse(answer.bytes);
    if (call.operation == Operation::List) {
        for (const json &row : document.at("rows")) {
            reply.rows.push_back({ row.at("key").get<std::string>(),
                                   row.at("version").get<std::uint64_t>(),
                                   row.at("value").get<std::string>() });
        }
    } else {
        reply.version = document.at("version").get<std::uint64_t>();
        if (call.operation != Operation::CompareAndSwap || conflict)
            reply.value = document.at("value").get<std::string>();
    }
    reply.status = conflict ? StoreStatus::Conflict : StoreStatus::Ok;
}

} // namespace

class StoreClient::Private
{
public:
    Private(StoreClientSettings settings, const Clock &clock)
        : m_settings(std::move(settings))
        , m_clock(clock)
        , m_pool({ m_settings.connectTimeout, true, false }, maxIdle)
    { }

    ~Private() { ::close(m_cancelDescriptor); }
    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    void cancel() noexcept { static_cast<void>(::eventfd_write(m_cancelDescriptor, 1)); }

    [[nodiscard]] event::StoreReply execute(const effect::StoreCall &call)
    {
        event::StoreReply reply;
        reply.call = call.call;
        reply.sentAt = m_clock.now();
        const HttpExchange exchange = send(call);
        std::string detail = exchange.detail;
        if (exchange.answer) {
            try {
                readResponse(reply, call, *exchange.answer);
                return reply;
            } catch (const std::exception &exception) {
                detail = exception.what();
            }
        }
        event::StoreReply unavailable;
        unavailable.call = call.call;
        unavailable.sentAt = reply.sentAt;
        m_settings.onError(
            { exchange.failure, stepName(call.operation), m_settings.address, detail });
        return unavailable;
    }

private:
    [[nodiscard]] HttpExchange send(const effect::StoreCall &call)
    {
        const Body body{ "application/octet-stream", call.value };
        const bool write = call.operation == Operation::CompareAndSwap;
        const HttpRequest request{ write ? "PUT" : "GET",
                                   requestTarget(call, m_settings.watchTimeout),
                                   { { "X-Client", m_settings.clientName } },
                                   write ? &body : nullptr };
        ExchangeLimits limits;
        limits.deadline = std::chrono::steady_clock::now() + m_settings.callTimeout;
        limits.cancelDescriptor = m_cancelDescriptor;
        if (call.operation == Operation::Watch)
            limits.deadline += m_settings.watchTimeout;
        return m_pool.exchange(m_settings.address, request, m_clock, limits);
    }

    StoreClientSettings m_settings;
    const Clock &m_clock;
    ConnectionPool m_pool;
    int m_cancelDescriptor = ::eventfd(0, EFD_CLOEXEC);
};

StoreClient::StoreClient(StoreClientSettings settings, const Clock &clock)
    : m_private(std::make_unique<Private>(std::move(settings), clock))
{ }

StoreClient::~StoreClient() = default;

void StoreClient::cancel() noexcept
{
    m_private->cancel();
}

event::StoreReply StoreClient::execute(const effect::StoreCall &call)
{
    return m_private->execute(call);
}

} // namespace cowsliprock
