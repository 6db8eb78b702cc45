#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cowsliprock::standin {

struct StoredRow
{
    std::string key;
    std::uint64_t version = 0; ///< 0 if the key is absent.
    std::string value;
};

/// In-memory store of versioned rows with compare-and-swap, time to live and watches. Thread-safe.
class KeyValueStore
{
public:
    using SteadyTime = std::chrono::steady_clock::time_point;

    [[nodiscard]] StoredRow get(const std::string &key);

    struct PutResult
    {
        bool written = false;
        StoredRow present; ///< The row after the call.
    };

    /// Writes the row if its version is \p expectedVersion; 0 means that the key is absent. Each
    /// write increments the version of the key, which is kept when the row expires.
    [[nodiscard]] PutResult compareAndSwap(const std::string &key, std::uint64_t expectedVersion,
                                           std::string value,
                                           std::optional<std::chrono::milliseconds> timeToLive);

    /// Returns the rows in key order.
    [[nodiscard]] std::vector<StoredRow> list(const std::string &prefix);

    /// Blocks until the version of \p key differs from \p version, \p limit is reached, or
    /// \p cancelled returns true after a call of wakeWatchers().
    [[nodiscard]] StoredRow watch(const std::string &key, std::uint64_t version, SteadyTime limit,
                                  const std::function<bool()> &cancelled);

    void wakeWatchers();

private:
    struct Entry
    {
        bool present = false;
        std::uint64_t version = 0; ///< Version of the last write, kept after expiry.
        std::string value;
        std::optional<SteadyTime> expiry;
    };

    [[nodiscard]] StoredRow read(const std::string &key);
    [[nodiscard]] static StoredRow toRow(const std::string &key, const Entry &entry);
    static void expire(Entry &entry, SteadyTime now);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Entry> m_entries;
};

} // namespace cowsliprock::standin
