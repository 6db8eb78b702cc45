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

/// How a worker treats orders.
enum class WorkerBehaviour {
    Healthy,
    Refuse,    ///< Answers that it did nothing.
    Silent,    ///< Neither acts nor answers; what runs goes on.
    Late,      ///< Carries orders out seconds later and does not answer.
    LoseAnswer ///< Carries orders out and does not answer.
};

/// A worker over HTTP. All members run in the loop's thread.
class WorkerServer
{
public:
    using Respond = HttpServer::Respond;
    /// Answers "is this ticket valid for that step on this worker".
    using TicketCheck = std::function<bool(const std::string &step, const std::string &ticket)>;

    WorkerServer(EventLoop &loop, WorkerModel &worker, std::uint32_t seed, TicketCheck ticketValid);

    [[nodiscard]] Result<SocketAddress> listen(const SocketAddress &address);

    void behave(WorkerBehaviour behaviour) noexcept { m_behaviour = behaviour; }

    [[nodiscard]] const std::map<std::string, std::uint64_t> &calls() const noexcept
    {
        return m_calls;
    }

private:
    void handle(const HttpRequest &request, const Respond &respond);
    void act(const HttpRequest &request, const Respond &respond);
    void start(const HttpRequest &request, const Respond &respond);
    void stop(const HttpRequest &request, const Respond &respond);
    void inventory(const HttpRequest &request, const Respond &respond);

    EventLoop &m_loop;
    WorkerModel &m_worker;
    std::mt19937 m_random;
    TicketCheck m_ticketValid;
    HttpServer m_server;
    WorkerBehaviour m_behaviour = WorkerBehaviour::Healthy;
    std::map<std::string, std::uint64_t> m_calls;
    std::vector<Respond> m_unanswered;
};

} // namespace cowsliprock::standincell
