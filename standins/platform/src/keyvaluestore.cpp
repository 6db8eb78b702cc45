#include <standinplatform/keyvaluestore.h>

#include <algorithm>
#include <utility>

namespace cowsliprock::standin {

StoredRow KeyValueStore::get(const std::string &key)
{
    const std::lock_guard guard(m_mutex);
    return read(key);
}

KeyValueStore::PutResult
KeyValueStore::compareAndSwap(const std::string &key, std::uint64_t expectedVersion,
                              std::string value,
                              std::optional<std::chrono::milliseconds> timeToLive)
{
    const std::lock_guard guard(m_mutex);
    if (StoredRow present = read(key); present.version != expectedVersion)
        return { false, std::move(present) };
    Cell &cell = m_cells[key];
    cell.present = true;
    ++cell.version;
    cell.value = std::move(value);
    cell.expiry.reset();
    if (timeToLive)
        cell.expiry = std::chrono::steady_clock::now() + *timeToLive;
    m_changed.notify_all();
    return { true, toRow(key, cell) };
}

std::vector<StoredRow> KeyValueStore::list(const std::string &prefix)
{
    const std::lock_guard guard(m_mutex);
    const SteadyTime now = std::chrono::steady_clock::now();
    std::vector<StoredRow> rows;
    for (auto cell = m_cells.lower_bound(prefix);
         cell != m_cells.end() && cell->first.starts_with(prefix); ++cell) {
        expire(cell->second, now);
        if (cell->second.present)
            rows.push_back(toRow(cell->first, cell->second));
    }
    return rows;
}

StoredRow KeyValueStore::watch(const std::string &key, std::uint64_t version, SteadyTime limit,
                               const std::function<bool()> &cancelled)
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        StoredRow row = read(key);
        if (row.version != version || std::chrono::steady_clock::now() >= limit || cancelled())
            return row;
        SteadyTime until = limit;
        if (const auto found = m_cells.find(key);
            found != m_cells.end() && found->second.present && found->second.expiry)
            until = std::min(until, *found->second.expiry);
        m_changed.wait_until(lock, until);
    }
}

void KeyValueStore::wakeAll()
{
    const std::lock_guard guard(m_mutex);
    m_changed.notify_all();
}

StoredRow KeyValueStore::read(const std::string &key)
{
    const auto found = m_cells.find(key);
    if (found == m_cells.end())
        return { key, 0, {} };
    expire(found->second, std::chrono::steady_clock::now());
    return toRow(key, found->second);
}

StoredRow KeyValueStore::toRow(const std::string &key, const Cell &cell)
{
    if (!cell.present)
        return { key, 0, {} };
    return { key, cell.version, cell.value };
}

void KeyValueStore::expire(Cell &cell, SteadyTime now)
{
    if (!cell.present || !cell.expiry || now < *cell.expiry)
        return;
    cell.present = false;
    cell.value.clear();
    cell.expiry.reset();
}

} // namespace cowsliprock::standin
