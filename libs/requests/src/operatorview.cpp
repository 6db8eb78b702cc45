#include "requestsstage.h"

#include <nlohmann/json.hpp>

namespace cowsliprock::requests {

void RequestsStage::on(const event::OperatorCall &call)
{
    if (call.action != "endpoints")
        return;
    auto list = nlohmann::json::array();
    const EndpointTable &table = m_owner.endpoints();
    for (const auto &[key, endpoint] : table.endpoints()) {
        if (endpoint.owned) {
            list.push_back({ { "service", key.service },
                             { "worker", endpoint.worker.value() },
                             { "address", key.address },
                             { "slots", table.capacity(key, endpoint) },
                             { "active", endpoint.occupied() },
                             { "leaving", endpoint.leaving } });
        }
    }
    const nlohmann::json answer = { { "endpoints", std::move(list) } };
    m_context.output->perform(effect::AnswerOperator{
        call.operation, 200,
        answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) });
}

std::string RequestsStage::snapshot() const
{
    const LoadSummary load = m_owner.load();
    const nlohmann::json state = { { "draining", m_context.draining },
                                   { "requests", m_entry.size() },
                                   { "freeSlots", load.freeSlots },
                                   { "waiting", load.waiting },
                                   { "inProgress", m_owner.endpoints().inProgress() },
                                   { "endpoints", m_owner.endpoints().endpoints().size() },
                                   { "identities", m_home.identities().size() },
                                   { "cachedAnswers", m_home.identities().cachedAnswers() },
                                   { "bodies", m_context.bodies.size() } };
    return state.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace cowsliprock::requests
