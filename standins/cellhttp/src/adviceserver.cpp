#include <standincellhttp/adviceserver.h>

#include "wire.h"

#include <calls.h>

#include <eventloop/eventloop.h>

#include <utility>

namespace cowsliprock::standincell {

using namespace platform;

namespace {

constexpr std::size_t maxPending = 32;

} // namespace

AdviceServer::AdviceServer(EventLoop &loop, Policy policy)
    : m_loop(loop)
    , m_policy(std::move(policy))
    , m_server(loop, [this](const HttpRequest &request, const Respond &respond) {
        handle(request, respond);
    })
{ }

Result<SocketAddress> AdviceServer::listen(const SocketAddress &address)
{
    return m_server.listen(address, {});
}

void AdviceServer::handle(const HttpRequest &request, const Respond &respond)
{
    ++m_calls;
    if (m_pending.size() >= maxPending) {
        respond(reply(statusTooManyRequests));
        return;
    }
    auto question =
        readJson(Json::parse(request.body, nullptr, false), [&respond](const Json &json) {
            return Question{ json.at("step"), json.at("workers"), respond };
        });
    if (!question) {
        respond(reply(statusBadRequest));
        return;
    }
    m_pending.push_back(std::move(*question));
    if (!m_busy)
        processNext();
}

void AdviceServer::processNext()
{
    m_busy = !m_pending.empty();
    if (!m_busy)
        return;
    auto question = std::move(m_pending.front());
    m_pending.pop_front();
    const auto time = m_policy.decision(question.step);
    m_loop.after(time, [this, question = std::move(question)] {
        answer(question);
        processNext();
    });
}

void AdviceServer::answer(const Question &question) const
{
    Json allowed = Json::array();
    for (const auto &worker : question.workers) {
        if (m_policy.allowed(question.step, worker))
            allowed.push_back({ worker, m_policy.ticket(question.step, worker) });
    }
    const auto validity =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_policy.validity).count();
    question.respond(
        reply(statusOk, { { "allowed", std::move(allowed) }, { "validity_ms", validity } }));
}

} // namespace cowsliprock::standincell
