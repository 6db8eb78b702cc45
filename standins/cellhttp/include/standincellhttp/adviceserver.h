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

/// The policy service as one daemon reaches it: handles its calls one after the other.
/// All members run in the loop's thread.
class AdviceServer
{
public:
    struct Policy
    {
        /// Time that the decision on a step takes.
        std::function<Duration(const std::string &step)> decision;
        Duration validity{};
        /// True if the worker may run the step.
        std::function<bool(const std::string &step, const std::string &worker)> allowed;
        /// Proof for the worker's present life.
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
    void next();
    void answer(const Question &question) const;

    EventLoop &m_loop;
    Policy m_policy;
    HttpServer m_server;
    std::deque<Question> m_waiting;
    bool m_busy = false;
    std::uint64_t m_calls = 0;
};

} // namespace cowsliprock::standincell
