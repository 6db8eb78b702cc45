#include "storehealth.h"

#include <algorithm>
#include <chrono>

namespace cowsliprock::cell {

namespace {

/// Nothing comes from a store that works for this long only if the link is full.
constexpr std::chrono::milliseconds shortestSilence{ 600 };
constexpr std::uint32_t refusalsUntilFailing = 2;
constexpr std::uint32_t breaksUntilFailing = 2;

} // namespace

void StoreHealth::Streak::add(TimePoint now) noexcept
{
    ++count;
    last = now;
}

void StoreHealth::Streak::answered(TimePoint sent) noexcept
{
    if (sent >= last)
        count = 0;
}

StoreHealth::CallNumber StoreHealth::sent(TimePoint now, bool waits)
{
    const auto call = ++m_lastCall;
    m_open.emplace(call, OpenCall{ now, waits });
    return call;
}

void StoreHealth::answered(CallNumber call, TimePoint now)
{
    m_lastHeard = now;
    m_silent = false;
    const auto open = m_open.extract(call);
    if (open.empty())
        return;
    const auto &[sent, waits] = open.mapped();
    if (!waits)
        m_answerTimes.observe(now - sent);
    m_refusals.answered(sent);
    m_breaks.answered(sent);
}

void StoreHealth::refused(CallNumber call, TimePoint now)
{
    m_refusals.add(now);
    if (const auto open = m_open.extract(call); !open.empty())
        endInSilence(open.mapped(), now);
}

void StoreHealth::unanswered(CallNumber call, TimePoint now)
{
    const auto open = m_open.extract(call);
    if (open.empty())
        return;
    const auto &ended = open.mapped();
    // All connections that were open may break at once; that is one break.
    if (now - ended.sent < shortestSilence && ended.sent >= m_breaks.last)
        m_breaks.add(now);
    endInSilence(ended, now);
}

void StoreHealth::endInSilence(const OpenCall &call, TimePoint now)
{
    if (call.waits)
        return;
    // Answers that came meanwhile show that only this one was lost.
    m_silent = m_silent || (call.sent >= m_lastHeard && now - call.sent >= shortestSilence);
}

bool StoreHealth::failing(TimePoint now) const
{
    return m_refusals.count >= refusalsUntilFailing || m_breaks.count >= breaksUntilFailing
        || silent(now);
}

bool StoreHealth::silent(TimePoint now) const
{
    const auto silence = silentAt();
    return m_silent || (silence && now >= *silence);
}

std::optional<TimePoint> StoreHealth::silentAt() const
{
    const auto oldest = std::find_if(m_open.begin(), m_open.end(),
                                     [](const auto &entry) { return !entry.second.waits; });
    if (oldest == m_open.end())
        return std::nullopt;
    return std::max(oldest->second.sent, m_lastHeard) + silenceLimit();
}

Duration StoreHealth::silenceLimit() const noexcept
{
    return std::max<Duration>(shortestSilence, m_answerTimes.timeout());
}

} // namespace cowsliprock::cell
