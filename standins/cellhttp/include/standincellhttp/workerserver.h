#pragma once

#include <standincell/workermodel.h>

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

/// Fault injected into the calls to a worker.
enum class WorkerFault {
    Healthy,
    Refuse,    ///< Replies that nothing was done.
    Silent,    ///< Neither executes orders nor replies; running tasks continue.
    Late,      ///< Executes orders up to 3 s later and does not reply.
    LoseAnswer ///< Executes orders but does not reply.
};

/// HTTP server of a worker. All members must be called from the thread of the event loop.
class WorkerServer
{
public:
    using Respond = HttpServer::Respond;
    /// Returns true if the ticket is valid for the step on this worker.
    using TicketCheck = std::function<bool(const std::string &step, const std::string &ticket)>;

    WorkerServer(EventLoop &loop, WorkerModel &worker, std::uint32_t seed, TicketCheck ticketValid);

    [[nodiscard]] Result<SocketAddress> listen(const SocketAddress &address);

    void setFault(WorkerFault fault) noexcept { m_fault = fault; }

    [[nodiscard]] const std::map<std::string, std::uint64_t> &calls() const noexcept
    {
        return m_calls;
    }

private:
    void handle(const HttpRequest &request, const Respond &respond);
    void execute(const HttpRequest &request, const Respond &respond);
    void start(const HttpRequest &request, const Respond &respond);
    void stop(const HttpRequest &request, const Respond &respond);
    void inventory(const HttpRequest &request, const Respond &respond);

    EventLoop &m_loop;
    WorkerModel &m_worker;
    std::mt19937 m_random;
    TicketCheck m_ticketValid;
    HttpServer m_server;
    WorkerFault m_fault = WorkerFault::Healthy;
    std::map<std::string, std::uint64_t> m_calls;
    std::vector<Respond> m_unanswered;
};

} // namespace cowsliprock::standincell
