#include "storehealth.h"

#include <algorithm>
#include <chrono>

namespace cowsliprock::cell {

namespace {

/// A healthy store is silent for this long only if the link is saturated.
constexpr std::chrono::milliseconds minSilence{ 600 };
constexpr std::uint32_t refusalsUntilFailing = 2;
constexpr std::uint32_t disconnectsUntilFailing = 2;

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
    m_lastResponse = now;
    m_silent = false;
    const auto open = m_open.extract(call);
    if (open.empty())
        return;
    const auto &[sent, waits] = open.mapped();
    if (!waits)
        m_answerTimes.observe(now - sent);
    m_refusals.answered(sent);
    m_disconnects.answered(sent);
}

void StoreHealth::refused(CallNumber call, TimePoint now)
{
    m_refusals.add(now);
    if (const auto open = m_open.extract(call); !open.empty())
        checkSilence(open.mapped(), now);
}

void StoreHealth::unanswered(CallNumber call, TimePoint now)
{
    const auto open = m_open.extract(call);
    if (open.empty())
        return;
    const auto &ended = open.mapped();
    // All open connections may break at the same time, which counts as one disconnect.
    if (now - ended.sent < minSilence && ended.sent >= m_disconnects.last)
        m_disconnects.add(now);
    checkSilence(ended, now);
}

void StoreHealth::checkSilence(const OpenCall &call, TimePoint now)
{
    if (call.waits)
        return;
    // If other responses have arrived since, only this one was lost.
    m_silent = m_silent || (call.sent >= m_lastResponse && now - call.sent >= minSilence);
}

bool StoreHealth::failing(TimePoint now) const
{
    return m_refusals.count >= refusalsUntilFailing
        || m_disconnects.count >= disconnectsUntilFailing || silent(now);
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
    return std::max(oldest->second.sent, m_lastResponse) + silenceLimit();
}

Duration StoreHealth::silenceLimit() const noexcept
{
    return std::max<Duration>(minSilence, m_answerTimes.timeout());
}

} // namespace cowsliprock::cell
