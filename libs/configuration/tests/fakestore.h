#pragma once

#include <kernel/effects.h>
#include <kernel/events.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

/// In-memory store with versioned rows, compare-and-swap and watches, as the platform
/// provides them.
class FakeStore
{
public:
    struct Row
    {
        std::uint64_t version = 0;
        std::string value;
    };
    using Rows = std::map<std::string, Row>;
    using Answer = std::function<void(cowsliprock::event::StoreReply)>;

    /// Called after a write has taken effect.
    std::function<void(const std::string &key, const Row &row)> onWrite;

    /// Executes a call. A watch is answered once its row differs from the given version.
    void perform(const cowsliprock::effect::StoreCall &call, const Answer &answer)
    {
        using Operation = cowsliprock::effect::StoreCall::Operation;
        if (call.operation == Operation::CompareAndSwap) {
            answer(compareAndSwap(call));
        } else if (call.operation == Operation::Get) {
            answer(read(call, m_rows));
        } else if (const Row &row = m_rows[call.key]; row.version != call.version) {
            answer(reply(call, cowsliprock::event::StoreStatus::Ok, row));
        } else {
            m_watches.push_back({ call, answer });
        }
    }

    /// Reads from the given rows, which may be an older state of the store.
    [[nodiscard]] static cowsliprock::event::StoreReply
    read(const cowsliprock::effect::StoreCall &call, const Rows &rows)
    {
        const auto row = rows.find(call.key);
        if (row == rows.end() || row->second.version == 0)
            return reply(call, cowsliprock::event::StoreStatus::NotFound, {});
        return reply(call, cowsliprock::event::StoreStatus::Ok, row->second);
    }

    [[nodiscard]] const Rows &rows() const { return m_rows; }

    /// Ends all watches, either with status Unavailable or as unchanged.
    void endWatches(bool unavailable)
    {
        for (const auto &[call, answer] : std::exchange(m_watches, {}))
            answer(reply(call,
                         unavailable ? cowsliprock::event::StoreStatus::Unavailable
                                     : cowsliprock::event::StoreStatus::Ok,
                         { call.version, {} }));
    }

private:
    struct PendingWatch
    {
        cowsliprock::effect::StoreCall call;
        Answer answer;
    };

    [[nodiscard]] static cowsliprock::event::StoreReply
    reply(const cowsliprock::effect::StoreCall &call, cowsliprock::event::StoreStatus status,
          const Row &row)
    {
        return { call.call, status, row.version, row.value, {}, {} };
    }

    [[nodiscard]] cowsliprock::event::StoreReply
    compareAndSwap(const cowsliprock::effect::StoreCall &call)
    {
        using cowsliprock::event::StoreStatus;
        Row &row = m_rows[call.key];
        if (row.version != call.version)
            return reply(call, StoreStatus::Conflict, row);
        row = { row.version + 1, call.value };
        if (onWrite)
            onWrite(call.key, row);
        for (const auto &[watch, answer] : std::exchange(m_watches, {})) {
            if (watch.key == call.key)
                answer(reply(watch, StoreStatus::Ok, row));
            else
                m_watches.push_back({ watch, answer });
        }
        return reply(call, StoreStatus::Ok, { row.version, {} });
    }

    Rows m_rows;
    std::vector<PendingWatch> m_watches;
};
