#include "kernelloop.h"

#include <kernel/serialization.h>

#include <deque>

namespace cowsliprock {

namespace {

constexpr std::chrono::seconds snapshotTimeout(2);

} // namespace

KernelLoop::KernelLoop(const Builder &builder)
    : m_ring(builder.ringSize)
    , m_kernel(builder.settings)
    , m_clock(*builder.clock)
    , m_metrics(*builder.metrics)
    , m_perform(builder.perform)
{
    if (!builder.traceFile.empty())
        m_trace.open(builder.traceFile, std::ios::trunc);
    if (m_trace.is_open())
        m_trace << encodeSettings(builder.settings) << '\n';
}

std::unique_ptr<KernelLoop> KernelLoop::Builder::build() const
{
    return std::unique_ptr<KernelLoop>(new KernelLoop(*this));
}

KernelLoop::~KernelLoop()
{
    stop();
}

void KernelLoop::start()
{
    m_thread = std::thread([this] { run(); });
}

void KernelLoop::stop()
{
    m_ring.close();
    if (m_thread.joinable())
        m_thread.join();
}

void KernelLoop::run()
{
    process(event::Started{});
    while (auto input = m_ring.pop()) {
        if (auto *event = std::get_if<Event>(&*input))
            process(std::move(*event));
        else
            std::get<SnapshotRequest>(*input).result->set_value(m_kernel.snapshots());
    }
}

void KernelLoop::process(Event event)
{
    std::deque<Event> pending;
    pending.push_back(std::move(event));
    while (!pending.empty()) {
        const Event next = std::move(pending.front());
        pending.pop_front();
        const TimePoint now = m_clock.now();
        record(next, now);
        auto effects = m_kernel.handle(next, now);
        m_metrics.observe("kernel.handleSeconds",
                          std::chrono::duration<double>(m_clock.now() - now).count());
        for (auto &effect : effects) {
            if (auto failure = m_perform(effect))
                pending.push_back(std::move(*failure));
        }
    }
}

void KernelLoop::record(const Event &event, TimePoint now)
{
    if (m_trace.is_open())
        m_trace << encodeTraceLine({ now, event }) << '\n' << std::flush;
}

Snapshots KernelLoop::snapshots()
{
    std::promise<Snapshots> result;
    auto future = result.get_future();
    if (!m_ring.tryPush(SnapshotRequest{ &result }))
        return {};
    // The queued request refers to the promise, so a timeout must not return from here. The
    // kernel's thread sets the result unless the loop has ended.
    while (future.wait_for(snapshotTimeout) != std::future_status::ready) {
        if (m_ring.closed())
            return {};
    }
    return future.get();
}

} // namespace cowsliprock
