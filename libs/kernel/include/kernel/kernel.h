#pragma once

#include <kernel/stage.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cowsliprock {

/// The decision logic of one daemon: delivers each event to all stages and collects the effects.
/// Not thread-safe; owned by one thread.
class Kernel
{
public:
    /// Creates one instance of each registered stage.
    explicit Kernel(const KernelSettings &settings);

    /// Creates only the named stages, for tests of single stages.
    Kernel(const KernelSettings &settings, const std::vector<std::string> &stageNames);

    /// Delivers \p event and all events raised in response to it, and returns the effects.
    [[nodiscard]] std::vector<Effect> handle(const Event &event, TimePoint now);

    /// Returns the JSON snapshot of each stage, by stage name.
    [[nodiscard]] std::map<std::string, std::string> snapshots() const;

private:
    struct NamedStage
    {
        std::string name;
        std::unique_ptr<Stage> stage;
    };

    void deliver(const Event &event, TimePoint now);

    std::vector<NamedStage> m_stages;
    Output m_output;
};

} // namespace cowsliprock
