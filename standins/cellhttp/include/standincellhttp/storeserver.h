#pragma once

#include <standincell/storemodel.h>

#include <base/error.h>
#include <eventloop/httpserver.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cowsliprock {
class EventLoop;
}

namespace cowsliprock::standincell {

/// HTTP server of the store for one daemon. All servers of a cell share one model.
/// All members must be called from the thread of the event loop.
class StoreServer
{
public:
    StoreServer(EventLoop &loop, StoreModel &store, std::uint32_t seed);

    [[nodiscard]] Result<SocketAddress> listen(const SocketAddress &address);

    void setFault(StoreFault fault) noexcept { m_fault = fault; }
    void delay(Duration delay) noexcept { m_delay = delay; }

    /// Number of calls by kind, for example "commit".
    [[nodiscard]] const std::map<std::string, std::uint64_t> &calls() const noexcept
    {
        return m_calls;
    }

private:
    using Respond = HttpServer::Respond;

    void handle(const HttpRequest &request, const Respond &respond);
    void execute(const HttpRequest &request, const Respond &respond);
    void watch(const HttpRequest &request, const Respond &respond);
    void commit(const HttpRequest &request, const Respond &respond);
    void lease(const HttpRequest &request, const Respond &respond);

    EventLoop &m_loop;
    StoreModel &m_store;
    std::mt19937 m_random;
    HttpServer m_server;
    StoreFault m_fault = StoreFault::None;
    Duration m_delay{};
    std::map<std::string, std::uint64_t> m_calls;
    /// Pending responses of calls that are never answered; keeps their connections open.
    std::vector<Respond> m_unanswered;
};

} // namespace cowsliprock::standincell
