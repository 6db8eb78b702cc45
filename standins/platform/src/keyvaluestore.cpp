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
    Entry &entry = m_entries[key];
    entry.present = true;
    ++entry.version;
    entry.value = std::move(value);
    entry.expiry.reset();
    if (timeToLive)
        entry.expiry = std::chrono::steady_clock::now() + *timeToLive;
    m_changed.notify_all();
    return { true, toRow(key, entry) };
}

std::vector<StoredRow> KeyValueStore::list(const std::string &prefix)
{
    const std::lock_guard guard(m_mutex);
    const SteadyTime now = std::chrono::steady_clock::now();
    std::vector<StoredRow> rows;
    for (auto entry = m_entries.lower_bound(prefix);
         entry != m_entries.end() && entry->first.starts_with(prefix); ++entry) {
        expire(entry->second, now);
        if (entry->second.present)
            rows.push_back(toRow(entry->first, entry->second));
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
        if (const auto found = m_entries.find(key);
            found != m_entries.end() && found->second.present && found->second.expiry)
            until = std::min(until, *found->second.expiry);
        m_changed.wait_until(lock, until);
    }
}

void KeyValueStore::wakeWatchers()
{
    const std::lock_guard guard(m_mutex);
    m_changed.notify_all();
}

StoredRow KeyValueStore::read(const std::string &key)
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end())
        return { key, 0, {} };
    expire(found->second, std::chrono::steady_clock::now());
    return toRow(key, found->second);
}

StoredRow KeyValueStore::toRow(const std::string &key, const Entry &entry)
{
    if (!entry.present)
        return { key, 0, {} };
    return { key, entry.version, entry.value };
}

void KeyValueStore::expire(Entry &entry, SteadyTime now)
{
    if (!entry.present || !entry.expiry || now < *entry.expiry)
        return;
    entry.present = false;
    entry.value.clear();
    entry.expiry.reset();
}

} // namespace cowsliprock::standin
