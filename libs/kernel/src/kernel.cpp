#include <kernel/kernel.h>

#include <algorithm>
#include <deque>

namespace cowsliprock {

Kernel::Kernel(const KernelSettings &settings)
{
    for (const auto &entry : StageRegistry::instance().entries())
        m_stages.push_back({ entry.name, entry.factory(settings) });
}

Kernel::Kernel(const KernelSettings &settings, const std::vector<std::string> &stageNames)
{
    for (const auto &entry : StageRegistry::instance().entries()) {
        if (std::find(stageNames.begin(), stageNames.end(), entry.name) != stageNames.end())
            m_stages.push_back({ entry.name, entry.factory(settings) });
    }
}

void Kernel::deliver(const Event &event, TimePoint now)
{
    for (const auto &[name, stage] : m_stages)
        stage->handle(event, now, m_output);
}

std::vector<Effect> Kernel::handle(const Event &event, TimePoint now)
{
    deliver(event, now);
    std::deque<Event> pendingEvents;
    for (;;) {
        for (auto &next : m_output.takeEvents())
            pendingEvents.push_back(std::move(next));
        if (pendingEvents.empty())
            break;
        const Event next = std::move(pendingEvents.front());
        pendingEvents.pop_front();
        deliver(next, now);
    }
    return m_output.takeEffects();
}

std::map<std::string, std::string> Kernel::snapshots() const
{
    std::map<std::string, std::string> result;
    for (const auto &[name, stage] : m_stages)
        result[name] = stage->snapshot();
    return result;
}

} // namespace cowsliprock
