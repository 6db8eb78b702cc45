#pragma once

#include <base/error.h>
#include <eventloop/httpserver.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace cowsliprock {
class EventLoop;
}

namespace cowsliprock::standincell {

/// HTTP server of the policy service for one daemon. Requests are processed sequentially.
/// All members must be called from the thread of the event loop.
class AdviceServer
{
public:
    struct Policy
    {
        /// Duration of the decision on a step.
        std::function<Duration(const std::string &step)> decision;
        Duration validity{};
        /// Returns true if the worker may run the step.
        std::function<bool(const std::string &step, const std::string &worker)> allowed;
        /// Returns the ticket for the step on the current instance of the worker.
        std::function<std::string(const std::string &step, const std::string &worker)> ticket;
    };

    AdviceServer(EventLoop &loop, Policy policy);

    [[nodiscard]] Result<SocketAddress> listen(const SocketAddress &address);

    [[nodiscard]] std::uint64_t calls() const noexcept { return m_calls; }

private:
    using Respond = HttpServer::Respond;
    struct Question
    {
        std::string step;
        std::vector<std::string> workers;
        Respond respond;
    };

    void handle(const HttpRequest &request, const Respond &respond);
    void processNext();
    void answer(const Question &question) const;

    EventLoop &m_loop;
    Policy m_policy;
    HttpServer m_server;
    std::deque<Question> m_pending;
    bool m_busy = false;
    std::uint64_t m_calls = 0;
};

} // namespace cowsliprock::standincell
