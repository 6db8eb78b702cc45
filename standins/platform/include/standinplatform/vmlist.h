#pragma once

#include <kernel/model.h>

#include <chrono>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace cowsliprock::standin {

/// List of VMs whose changes become visible to readers after a fixed delay. Thread-safe.
class DelayedVmList
{
public:
    DelayedVmList(std::vector<VmEntry> initial, std::chrono::milliseconds delay);

    [[nodiscard]] std::vector<VmEntry> visible();
    void put(VmEntry entry);
    void remove(const std::string &name);

private:
    using SteadyTime = std::chrono::steady_clock::time_point;
    struct Snapshot
    {
        SteadyTime visibleFrom;
        std::vector<VmEntry> entries;
    };

    void publish(std::vector<VmEntry> entries);

    const std::chrono::milliseconds m_delay;
    std::mutex m_mutex;
    std::deque<Snapshot> m_snapshots; ///< Never empty; the first was visible at the last read.
};

} // namespace cowsliprock::standin
