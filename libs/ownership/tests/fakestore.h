#pragma once

#include <kernel/effects.h>
#include <kernel/events.h>

#include <map>
#include <string>

namespace cowsliprock::test {

/// In-memory implementation of the platform's store, without faults.
class FakeStore
{
public:
    [[nodiscard]] event::StoreReply perform(const effect::StoreCall &call)
    {
        event::StoreReply reply;
        reply.call = call.call;
        reply.status = event::StoreStatus::Ok;
        if (call.operation == effect::StoreCall::Operation::List) {
            for (auto row = m_rows.lower_bound(call.key);
                 row != m_rows.end() && row->first.starts_with(call.key); ++row)
                reply.rows.push_back({ row->first, row->second.version, row->second.value });
            return reply;
        }
        auto &row = m_rows[call.key];
        if (call.operation == effect::StoreCall::Operation::CompareAndSwap) {
            if (row.version == call.version)
                row = { row.version + 1, call.value };
            else
                reply.status = event::StoreStatus::Conflict;
        } else if (row.version == 0) {
            reply.status = event::StoreStatus::NotFound;
        }
        reply.version = row.version;
        if (call.operation != effect::StoreCall::Operation::CompareAndSwap
            || reply.status == event::StoreStatus::Conflict)
            reply.value = row.value;
        return reply;
    }

    [[nodiscard]] std::string value(const std::string &key) const
    {
        const auto row = m_rows.find(key);
        return row == m_rows.end() ? std::string() : row->second.value;
    }

private:
    struct Row
    {
        std::uint64_t version = 0;
        std::string value;
    };
    std::map<std::string, Row> m_rows;
};

} // namespace cowsliprock::test
