#pragma once

#include <base/error.h>
#include <kernel/kernel.h>

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

namespace cowsliprock {

/// Checks, event by event, rules that hold for every daemon whatever happens to it.
class InvariantChecker
{
public:
    void observe(const Event &event);
    void observe(const Effect &effect, TimePoint now);

    [[nodiscard]] const std::vector<std::string> &violations() const noexcept
    {
        return m_violations;
    }

private:
    void checkCall(const effect::CallEndpoint &call, TimePoint now);
    void checkStart(const effect::StartTask &start, TimePoint now);
    void checkAnswer(const effect::AnswerCaller &answer);

    std::map<RequestId, int> m_answers;
    std::map<AttemptId, std::string> m_callAddress;
    std::map<AttemptId, int> m_starts;
    std::map<std::string, std::uint32_t> m_slots;  ///< By endpoint address.
    std::map<std::string, std::uint32_t> m_active; ///< By endpoint address.
    std::vector<std::string> m_violations;
};

/// What a replayed trace led to.
struct ReplaySummary
{
    std::uint64_t events = 0;
    std::map<std::string, std::uint64_t> effects; ///< By name of the effect.
    std::map<std::string, std::uint64_t> answers; ///< "whole", "notRun" and "unknown".
    std::vector<std::string> violations;
};

/// Replays a recorded trace: a first line with the settings, then one event a line.
[[nodiscard]] Result<ReplaySummary> replayTrace(std::istream &trace);

} // namespace cowsliprock
