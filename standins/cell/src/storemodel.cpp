#include <standincell/storemodel.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace cowsliprock::standincell {

using namespace cell;

namespace {

constexpr std::size_t pageItems = 500;
constexpr std::size_t historyEvents = 4000;

} // namespace

StoreModel::StoreModel(Timers &timers)
    : m_timers(timers)
{ }

StoreModel::~StoreModel()
{
    *m_alive = false;
}

std::optional<StoreItem> StoreModel::read(const std::string &key) const
{
    const auto item = m_items.find(key);
    return item == m_items.end() ? std::nullopt : std::optional(item->second);
}

StorePage StoreModel::list(const std::string &prefix, const std::string &after) const
{
    StorePage page;
    page.asOf = m_revision;
    auto item = after.empty() ? m_items.lower_bound(prefix) : m_items.upper_bound(after);
    for (; item != m_items.end() && item->first.starts_with(prefix); ++item) {
        if (page.items.size() == pageItems) {
            page.more = true;
            break;
        }
        page.items.push_back(item->second);
    }
    return page;
}

TransactionOutcome StoreModel::commit(const Transaction &transaction)
{
    ConditionFailed failed;
    bool conditionsHold = true;
    for (const auto &condition : transaction.conditions) {
        const auto item = read(condition.key);
        conditionsHold = conditionsHold && (item ? item->revision : 0) == condition.revision;
        if (item)
            failed.present.push_back(*item);
    }
    if (!conditionsHold)
        return failed;
    for (const auto &write : transaction.writes) {
        if (write.lease != 0 && !m_leases.contains(write.lease))
            return LeaseMissing{};
    }
    ++m_revision;
    for (const auto &write : transaction.writes) {
        StoreItem item{ write.key, write.value, m_revision, m_revision, write.lease };
        if (const auto old = m_items.find(write.key); old != m_items.end())
            item.created = old->second.created;
        m_items[write.key] = item;
        appendEvent({ item, false });
    }
    for (const auto &key : transaction.removals) {
        if (m_items.erase(key) > 0)
            appendEvent({ StoreItem{ key, "", m_revision, 0, 0 }, true });
    }
    notifyWatchers();
    return Committed{ m_revision };
}

void StoreModel::put(const std::string &key, const std::string &value, std::uint64_t lease)
{
    Transaction transaction;
    transaction.writes.push_back({ key, value, lease });
    static_cast<void>(commit(transaction));
}

void StoreModel::remove(const std::string &key)
{
    Transaction transaction;
    transaction.removals.push_back(key);
    static_cast<void>(commit(transaction));
}

void StoreModel::appendEvent(const StoreEvent &event)
{
    m_history.push_back(event);
    if (m_history.size() > historyEvents) {
        m_compactedRevision = m_history.front().item.revision;
        m_history.pop_front();
    }
}

StoreEvents StoreModel::eventsAfter(const std::string &prefix, std::uint64_t after) const
{
    StoreEvents events;
    events.asOf = m_revision;
    if (m_eventsSuppressed) {
        events.asOf = after;
        return events;
    }
    if (after < m_compactedRevision) {
        events.historyLost = true;
        return events;
    }
    for (const auto &event : m_history) {
        if (event.item.revision > after && event.item.key.starts_with(prefix))
            events.events.push_back(event);
    }
    return events;
}

void StoreModel::watch(const std::string &prefix, std::uint64_t after, Duration wait,
                       Done<StoreEvents> done)
{
    if (auto events = eventsAfter(prefix, after); events.historyLost || !events.events.empty()) {
        done(std::move(events));
        return;
    }
    const auto number = ++m_lastWatcher;
    m_watchers.push_back({ number, prefix, after, std::move(done) });
    m_timers.after(wait, [this, alive = m_alive, number] {
        if (!*alive)
            return;
        const auto watcher =
            std::find_if(m_watchers.begin(), m_watchers.end(),
                         [number](const Watcher &entry) { return entry.number == number; });
        if (watcher == m_watchers.end())
            return;
        const auto waiting = std::move(*watcher);
        m_watchers.erase(watcher);
        waiting.done(eventsAfter(waiting.prefix, waiting.after));
    });
}

void StoreModel::notifyWatchers()
{
    std::vector<std::pair<Done<StoreEvents>, StoreEvents>> due;
    for (auto entry = m_watchers.begin(); entry != m_watchers.end();) {
        auto events = eventsAfter(entry->prefix, entry->after);
        if (events.historyLost || !events.events.empty()) {
            due.emplace_back(std::move(entry->done), std::move(events));
            entry = m_watchers.erase(entry);
        } else {
            ++entry;
        }
    }
    for (auto &[done, events] : due)
        done(std::move(events));
}

std::uint64_t StoreModel::grantLease(Duration timeToLive)
{
    const auto lease = ++m_lastLease;
    m_leases[lease] = { timeToLive, m_timers.now() + timeToLive };
    checkLease(lease);
    return lease;
}

bool StoreModel::keepLease(std::uint64_t lease)
{
    const auto entry = m_leases.find(lease);
    if (entry == m_leases.end())
        return false;
    entry->second.ends = m_timers.now() + entry->second.timeToLive;
    return true;
}

void StoreModel::endLease(std::uint64_t lease)
{
    m_leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto &[key, item] : m_items) {
        if (item.lease == lease)
            keys.push_back(key);
    }
    for (const auto &key : keys)
        remove(key);
}

void StoreModel::checkLease(std::uint64_t lease)
{
    const auto entry = m_leases.find(lease);
    if (entry == m_leases.end())
        return;
    if (m_leasesPaused)
        entry->second.ends = m_timers.now() + entry->second.timeToLive;
    if (m_timers.now() >= entry->second.ends) {
        endLease(lease);
        return;
    }
    m_timers.after(entry->second.ends - m_timers.now(), [this, alive = m_alive, lease] {
        if (*alive)
            checkLease(lease);
    });
}

void StoreModel::suppressEvents(bool suppressed)
{
    m_eventsSuppressed = suppressed;
    notifyWatchers();
}

void StoreModel::compact()
{
    m_history.clear();
    m_compactedRevision = ++m_revision;
    notifyWatchers();
}

} // namespace cowsliprock::standincell
