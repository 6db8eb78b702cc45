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

/// Versioned rows with compare-and-swap, time to live and watches. Thread-safe.
class KeyValueStore
{
public:
    using SteadyTime = std::chrono::steady_clock::time_point;

    [[nodiscard]] StoredRow get(const std::string &key);

    struct PutResult
    {
        bool written = false;
        StoredRow present; ///< After the call.
    };

    /// Writes if the row has \p expectedVersion, 0 for an absent key. Versions of a key grow by
    /// one, also over deletions.
    [[nodiscard]] PutResult compareAndSwap(const std::string &key, std::uint64_t expectedVersion,
                                           std::string value,
                                           std::optional<std::chrono::milliseconds> timeToLive);

    /// Rows in key order.
    [[nodiscard]] std::vector<StoredRow> list(const std::string &prefix);

    /// Waits until the version of \p key differs from \p version, until \p limit, or until
    /// \p cancelled holds after a wakeAll().
    [[nodiscard]] StoredRow watch(const std::string &key, std::uint64_t version, SteadyTime limit,
                                  const std::function<bool()> &cancelled);

    void wakeAll();

private:
    struct Cell
    {
        bool present = false;
        std::uint64_t version = 0; ///< Of the last write, also after a deletion.
        std::string value;
        std::optional<SteadyTime> expiry;
    };

    [[nodiscard]] StoredRow read(const std::string &key);
    [[nodiscard]] static StoredRow toRow(const std::string &key, const Cell &cell);
    static void expire(Cell &cell, SteadyTime now);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Cell> m_cells;
};

} // namespace cowsliprock::standin
