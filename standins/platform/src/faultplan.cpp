#include <standinplatform/faultplan.h>

#include <nlohmann/json.hpp>

namespace cowsliprock::standin {

using nlohmann::json;

Result<void> FaultPlan::apply(const std::string &text)
{
    try {
        const json document = json::parse(text);
        const std::lock_guard guard(m_mutex);
        m_outage = document.value("outage", m_outage);
        m_outageFor = document.value("outageFor", m_outageFor);
        m_vmListOutage = document.value("vmListOutage", m_vmListOutage);
        m_delay = std::chrono::milliseconds(document.value("delayMs", m_delay.count()));
        m_repliesToDrop = document.value("loseReplies", m_repliesToDrop);
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    } catch (const json::exception &exception) {
        return Error{ ErrorKind::Invalid, "faults.apply", {}, exception.what() };
    }
}

bool FaultPlan::outageFor(const std::string &client) const
{
    const std::lock_guard guard(m_mutex);
    return m_outage || m_outageFor.contains(client);
}

bool FaultPlan::vmListOutage() const
{
    const std::lock_guard guard(m_mutex);
    return m_vmListOutage;
}

std::chrono::milliseconds FaultPlan::delay() const
{
    const std::lock_guard guard(m_mutex);
    return m_delay;
}

bool FaultPlan::consumeLostReply()
{
    const std::lock_guard guard(m_mutex);
    if (m_repliesToDrop == 0)
        return false;
    --m_repliesToDrop;
    return true;
}

std::string FaultPlan::toJson() const
{
    const std::lock_guard guard(m_mutex);
    return json{
        { "outage", m_outage },
        { "outageFor", m_outageFor },
        { "vmListOutage", m_vmListOutage },
        { "delayMs", m_delay.count() },
        { "loseReplies", m_repliesToDrop }
    }.dump();
}

} // namespace cowsliprock::standin
