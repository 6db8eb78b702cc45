#pragma once

#include <base/metrics.h>
#include <base/ring.h>
#include <base/time.h>
#include <kernel/kernel.h>

#include <fstream>
#include <functional>
#include <future>
#include <map>
#include <string>
#include <thread>
#include <variant>

namespace cowsliprock {

/// Snapshots of all stages, by stage name, as JSON.
using Snapshots = std::map<std::string, std::string>;

/// The duty that owns the kernel: one thread, fed by a bounded ring.
class KernelLoop
{
public:
    struct Builder
    {
        KernelSettings settings;
        std::size_t ringSize = 0;
        std::string traceFile; ///< Empty: no trace is recorded.
        const Clock *clock = nullptr;
        Metrics *metrics = nullptr;
        /// Called in the kernel's thread for each effect. May return an event, for an effect that
        /// could not be handed on; the kernel sees it next.
        std::function<std::optional<Event>(Effect &effect)> perform;

        [[nodiscard]] std::unique_ptr<KernelLoop> build() const;
    };

    ~KernelLoop();
    KernelLoop(const KernelLoop &) = delete;
    KernelLoop &operator=(const KernelLoop &) = delete;

    void start();
    void stop();

    /// For events that may be refused when the ring is full (callers, peers, ticks).
    [[nodiscard]] bool offer(Event event) { return m_ring.tryPush(std::move(event)); }

    /// For results that must not be lost; waits while the ring is full.
    void deliver(Event event) { m_ring.push(std::move(event)); }

    /// Snapshots taken in the kernel's thread. Empty if the ring is full or the loop has ended.
    [[nodiscard]] Snapshots snapshots();

    [[nodiscard]] std::int64_t queued() const { return m_ring.size(); }

private:
    struct SnapshotRequest
    {
        std::promise<Snapshots> *result = nullptr;
    };
    using Input = std::variant<Event, SnapshotRequest>;

    explicit KernelLoop(const Builder &builder);
    void run();
    void process(Event event);
    void record(const Event &event, TimePoint now);

    BoundedRing<Input> m_ring;
    Kernel m_kernel;
    std::ofstream m_trace;
    const Clock &m_clock;
    Metrics &m_metrics;
    std::function<std::optional<Event>(Effect &)> m_perform;
    std::thread m_thread;
};

} // namespace cowsliprock
