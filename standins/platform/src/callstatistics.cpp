#include <standinplatform/callstatistics.h>

#include <nlohmann/json.hpp>

namespace cowsliprock::standin {

void CallStatistics::countCall(const std::string &client, const std::string &operation)
{
    const std::lock_guard guard(m_mutex);
    ++m_calls[client][operation];
}

void CallStatistics::countBytes(std::uint64_t in, std::uint64_t out)
{
    const std::lock_guard guard(m_mutex);
    m_bytesIn += in;
    m_bytesOut += out;
}

std::string CallStatistics::toJson() const
{
    const std::lock_guard guard(m_mutex);
    return nlohmann::json{
        { "calls", m_calls }, { "bytesIn", m_bytesIn }, { "bytesOut", m_bytesOut }
    }.dump();
}

} // namespace cowsliprock::standin
