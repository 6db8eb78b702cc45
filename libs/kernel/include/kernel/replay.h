#pragma once

#include <base/error.h>
#include <kernel/kernel.h>

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

namespace cowsliprock {

/// Checks each event and effect against invariants that hold for every daemon in all conditions.
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

    std::map<RequestId, int> m_answerCounts;
    std::map<AttemptId, std::string> m_callAddresses;
    std::map<AttemptId, int> m_startCounts;
    std::map<std::string, std::uint32_t> m_endpointSlots; ///< By endpoint address.
    std::map<std::string, std::uint32_t> m_activeCalls;   ///< By endpoint address.
    std::vector<std::string> m_violations;
};

/// Result of replaying a trace.
struct ReplaySummary
{
    std::uint64_t events = 0;
    std::map<std::string, std::uint64_t> effects; ///< Counts by effect name.
    std::map<std::string, std::uint64_t> answers; ///< Counts of "whole", "notRun" and "unknown".
    std::vector<std::string> violations;
};

/// Replays a recorded trace: the first line holds the settings, each further line one event.
[[nodiscard]] Result<ReplaySummary> replayTrace(std::istream &trace);

} // namespace cowsliprock
