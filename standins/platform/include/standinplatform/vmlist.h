#pragma once

#include <kernel/model.h>

#include <chrono>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace cowsliprock::standin {

/// The list of VMs, which readers see as it was a lag ago. Thread-safe.
class LaggingVmList
{
public:
    LaggingVmList(std::vector<VmEntry> initial, std::chrono::milliseconds lag);

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

    const std::chrono::milliseconds m_lag;
    std::mutex m_mutex;
    std::deque<Snapshot> m_snapshots; ///< Never empty; the first is the one visible last.
};

} // namespace cowsliprock::standin
