#include "windowcounter.h"

#include <kernel/stage.h>

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <optional>

namespace cowsliprock {

namespace {

using nlohmann::json;

/// Bounds the size of the report; further callers are counted as "other".
constexpr std::size_t maxReportedCallers = 100;

/// Records finished and late work and handles the operator calls "burn" and "late".
class BurnStage : public Stage
{
public:
    explicit BurnStage(const KernelSettings &settings)
        : m_self(settings.self)
    { }

    void handle(const Event &event, TimePoint now, Output &output) override
    {
        if (!m_startedAt)
            m_startedAt = now;
        if (const auto *finished = std::get_if<event::WorkFinished>(&event))
            add(*finished, now);
        else if (const auto *late = std::get_if<event::LateWorkChanged>(&event))
            m_late[late->stage] = late->items;
        else if (const auto *inForce = std::get_if<event::ConfigurationInForce>(&event))
            m_configuration = inForce->configuration;
        else if (const auto *call = std::get_if<event::OperatorCall>(&event))
            answer(*call, now, output);
    }

    [[nodiscard]] std::string snapshot() const override
    {
        std::size_t lateItems = 0;
        for (const auto &[stage, items] : m_late)
            lateItems += items.size();
        return json({ { "services", m_services.size() }, { "late", lateItems } }).dump();
    }

private:
    struct ServiceRecord
    {
        WindowCounter windows;
        Distribution waiting;
        std::map<std::string, std::uint64_t> lateByCaller;
    };

    [[nodiscard]] Objectives objectivesOf(const std::string &service) const
    {
        if (m_configuration) {
            for (const auto &definition : m_configuration->services) {
                if (definition.name == service)
                    return definition.objectives;
            }
        }
        return {};
    }

    void add(const event::WorkFinished &finished, TimePoint now)
    {
        auto &record = m_services[finished.service];
        const Objectives objectives = objectivesOf(finished.service);
        std::array<ObjectiveCount, objectiveCount> counts{};
        if (objectives.waitingTime > Duration(0))
            counts[0] = { 1, finished.waited > objectives.waitingTime ? 1U : 0U };
        counts[1] = { 1, finished.deadlineMet ? 0U : 1U };
        counts[2] = { 1, finished.available ? 0U : 1U };
        record.windows.add(now, counts);
        record.waiting.add(finished.waited);
        if (!finished.deadlineMet)
            ++record.lateByCaller[reportedCaller(record, finished.caller)];
    }

    static std::string reportedCaller(const ServiceRecord &record, const std::string &caller)
    {
        const auto &reported = record.lateByCaller;
        return reported.contains(caller) || reported.size() < maxReportedCallers ? caller : "other";
    }

    [[nodiscard]] BurnPart part(TimePoint now) const
    {
        BurnPart result;
        result.daemon = m_self.name.value();
        result.incarnation = m_self.incarnation;
        result.age = std::chrono::floor<std::chrono::minutes>(now - *m_startedAt);
        for (const auto &[name, record] : m_services) {
            const Objectives objectives = objectivesOf(name);
            auto &service = result.services[name];
            service.targets = { objectives.waitingTime > Duration(0) ? objectives.waitingShare
                                                                     : 0.0,
                                objectives.deadlineShare, objectives.availability };
            service.counts = record.windows.totals(now);
            service.waiting = record.waiting;
            service.lateByCaller = record.lateByCaller;
        }
        return result;
    }

    [[nodiscard]] std::string encodeLateWork(TimePoint now) const
    {
        json items = json::array();
        for (const auto &[stage, late] : m_late) {
            for (const auto &item : late)
                items.push_back(
                    { { "kind", stage == "requests" ? "request" : "job" },
                      { "id", item.id },
                      { "name", item.name },
                      { "caller", item.caller },
                      { "lateMs",
                        std::chrono::duration_cast<std::chrono::milliseconds>(now - item.lateSince)
                            .count() } });
        }
        return json({ { "late", std::move(items) } }).dump();
    }

    void answer(const event::OperatorCall &call, TimePoint now, Output &output) const
    {
        if (call.action == "burn")
            output.perform(effect::AnswerOperator{ call.operation, 200, encodePart(part(now)) });
        else if (call.action == "late")
            output.perform(effect::AnswerOperator{ call.operation, 200, encodeLateWork(now) });
    }

    DaemonIdentity m_self;
    std::optional<TimePoint> m_startedAt;
    ConfigurationPointer m_configuration;
    std::map<std::string, ServiceRecord> m_services;
    std::map<std::string, std::vector<event::LateItem>> m_late;
};

const StageRegistrar registrar(50, "burn", [](const KernelSettings &settings) {
    return std::make_unique<BurnStage>(settings);
});

} // namespace

} // namespace cowsliprock
