#pragma once

#include <experiment/cell.h>
#include <experiment/plan.h>

namespace cowsliprock {
class EventLoop;
}

namespace cowsliprock::experiment {

/// Plays the troubles of a plan, each from its time on; several may be at work at a time.
class Troubles
{
public:
    Troubles(EventLoop &loop, const Plan &plan, Cell &cell) noexcept
        : m_loop(loop)
        , m_plan(plan)
        , m_cell(cell)
    { }

    void start();

private:
    void begin(const Trouble &trouble);
    void beginForDaemon(const Trouble &trouble, std::uint32_t daemon);
    void beginForStore(const Trouble &trouble, std::uint32_t daemon);
    void beginForWorker(const Trouble &trouble, std::uint32_t worker);
    void beginForLinks(const Trouble &trouble, std::uint32_t daemon);
    void pause(std::uint32_t daemon, Duration time);
    /// Calls \p end when the trouble is over.
    void later(const Trouble &trouble, std::function<void()> end);
    [[nodiscard]] std::uint32_t ownerOr(std::uint32_t daemon) const;

    EventLoop &m_loop;
    const Plan &m_plan;
    Cell &m_cell;
};

} // namespace cowsliprock::experiment
