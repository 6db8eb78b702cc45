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

/// JSON snapshots of all stages, by stage name.
using Snapshots = std::map<std::string, std::string>;

/// The event loop that owns the kernel: a single thread that takes events from a bounded ring.
class KernelLoop
{
public:
    struct Builder
    {
        KernelSettings settings;
        std::size_t ringSize = 0; ///< Capacity for queued events.
        std::string traceFile;    ///< If empty, no trace is recorded.
        const Clock *clock = nullptr;
        Metrics *metrics = nullptr;
        /// Called in the kernel's thread for each effect. Returns an event if the effect could not
        /// be passed on; the kernel handles that event before the next one from the ring.
        std::function<std::optional<Event>(Effect &effect)> perform;

        [[nodiscard]] std::unique_ptr<KernelLoop> build() const;
    };

    ~KernelLoop();
    KernelLoop(const KernelLoop &) = delete;
    KernelLoop &operator=(const KernelLoop &) = delete;

    /// Starts the thread. The first event is event::Started.
    void start();

    /// Closes the ring and waits for the thread.
    void stop();

    /// Queues an event that may be rejected (callers, peers, ticks). Returns false if the ring is
    /// full. Thread-safe.
    [[nodiscard]] bool tryPost(Event event) { return m_ring.tryPush(std::move(event)); }

    /// Queues an event that must not be lost. Blocks while the ring is full. Thread-safe.
    void post(Event event) { m_ring.push(std::move(event)); }

    /// Takes snapshots in the kernel's thread. Returns an empty map if the ring is full or the loop
    /// has ended.
    [[nodiscard]] Snapshots snapshots();

    /// Number of queued events.
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
