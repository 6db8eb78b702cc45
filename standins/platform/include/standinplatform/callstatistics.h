#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace cowsliprock::standin {

/// Counts calls by client and operation, and the bytes received and sent. Thread-safe.
class CallStatistics
{
public:
    void countCall(const std::string &client, const std::string &operation);
    void countBytes(std::uint64_t in, std::uint64_t out);
    [[nodiscard]] std::string toJson() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::map<std::string, std::uint64_t>> m_calls;
    std::uint64_t m_bytesIn = 0;
    std::uint64_t m_bytesOut = 0;
};

} // namespace cowsliprock::standin
