#pragma once

#include <base/time.h>
#include <kernel/effects.h>
#include <kernel/events.h>
#include <kernel/settings.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cowsliprock {

/// Collects the output of stages: effects for the runtime and events for all stages.
class Output
{
public:
    /// Adds an effect for the runtime.
    void perform(Effect effect) { m_effects.push_back(std::move(effect)); }

    /// Raises an event that every stage receives after the current one.
    void raise(Event event) { m_events.push_back(std::move(event)); }

    /// Adds \p amount to a counter of /metrics.
    void count(std::string metric, std::uint64_t amount = 1)
    {
        perform(effect::Count{ std::move(metric), amount });
    }
    void log(std::string text) { perform(effect::LogChange{ std::move(text) }); }

    [[nodiscard]] std::vector<Effect> takeEffects() { return std::exchange(m_effects, {}); }
    [[nodiscard]] std::vector<Event> takeEvents() { return std::exchange(m_events, {}); }

private:
    std::vector<Effect> m_effects;
    std::vector<Event> m_events;
};

/// A part of the decision logic. It must be deterministic: it reads no clock and no global state.
class Stage
{
public:
    virtual ~Stage() = default;
    virtual void handle(const Event &event, TimePoint now, Output &output) = 0;

    /// Returns the state as JSON, for operators and for comparison in replays.
    [[nodiscard]] virtual std::string snapshot() const = 0;
};

using StageFactory = std::function<std::unique_ptr<Stage>(const KernelSettings &)>;

/// Registered stages, ordered by rank and then by name.
class StageRegistry
{
public:
    struct Entry
    {
        int rank = 0; ///< Stages with a lower rank receive an event first.
        std::string name;
        StageFactory factory;
    };

    static StageRegistry &instance();
    void add(Entry entry);
    [[nodiscard]] const std::vector<Entry> &entries() const noexcept { return m_entries; }

private:
    std::vector<Entry> m_entries;
};

/// Registers a stage at program start: `const StageRegistrar registrar(10, "ownership", factory);`
class StageRegistrar
{
public:
    StageRegistrar(int rank, std::string name, StageFactory factory)
    {
        StageRegistry::instance().add({ rank, std::move(name), std::move(factory) });
    }
};

} // namespace cowsliprock
