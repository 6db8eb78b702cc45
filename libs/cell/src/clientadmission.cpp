#include "clientrequesthandler.h"
#include "jobtable.h"

namespace cowsliprock::cell {

bool ClientRequestHandler::isExcess(const JobRecord &record, const CustomerSettings *customer)
{
    if (customer == nullptr)
        return false;
    const auto allowance = queueingAllowance(record);
    return allowance
        && m_admission.refuses(shardOf(record.id), *customer, *allowance,
                               m_membership.members().size(), m_ports.timers.now());
}

void ClientRequestHandler::refuseUnlessStored(const JobRecord &record, TimePoint deadline,
                                              const Done<SubmitResult> &done)
{
    const auto unlessStored = [this, alive = m_alive, record, deadline, done](const auto &refuse) {
        return [this, alive, record, deadline, done,
                refuse](const Result<std::optional<StoreItem>> &item) {
            if (!*alive)
                return;
            if (item.has_value() && !item.value())
                refuse();
            else
                store(record, deadline, done);
        };
    };
    const auto refuse = [this, id = record.id, customer = record.customer,
                         begun = m_ports.timers.now(), done] {
        m_ports.metrics.count("submissions.excess");
        m_ports.metrics.count("customers." + customer + ".refused.excess");
        logSubmission(id, begun, SubmitResult::Excess);
        done(SubmitResult::Excess);
    };
    m_ports.store.read(jobKey(record.id), unlessStored([this, unlessStored, refuse, record] {
                           m_ports.store.read(endedKey(record.id), unlessStored(refuse));
                       }));
}

void ClientRequestHandler::handleAcceptedAnswer(std::uint32_t shard, const std::string &customer,
                                                const AcceptedAnswer &answer)
{
    if (!customer.empty())
        m_admission.hintReceived(shard, customer, answer.excessDelay, m_ports.timers.now());
}

std::chrono::seconds ClientRequestHandler::excessRetryAfter(const std::string &id,
                                                            const std::string &customer) const
{
    return m_admission.retryAfter(shardOf(id), customer, m_ports.timers.now());
}

} // namespace cowsliprock::cell
