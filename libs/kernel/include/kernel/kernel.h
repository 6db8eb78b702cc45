#pragma once

#include <kernel/stage.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cowsliprock {

/// The decision logic of one daemon: gives each event to all stages and collects the effects.
/// Not thread-safe; one thread owns it.
class Kernel
{
public:
    /// Creates one instance of each registered stage.
    explicit Kernel(const KernelSettings &settings);

    /// Creates only the named stages, for focused tests.
    Kernel(const KernelSettings &settings, const std::vector<std::string> &stageNames);

    [[nodiscard]] std::vector<Effect> handle(const Event &event, TimePoint now);

    /// Snapshot of each stage as JSON, by stage name.
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
