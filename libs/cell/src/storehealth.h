#pragma once

#include <base/time.h>
#include <eventloop/responsetimes.h>

#include <cstdint>
#include <map>
#include <optional>

namespace cowsliprock::cell {

/// Passive health check: determines from the outcomes of all store calls whether the store responds
/// to this daemon. A slow store is healthy; one that repeatedly refuses calls, repeatedly drops
/// connections or does not respond at all is not.
/// During an outage, this keeps each call from having to wait for its own timeout.
class StoreHealth
{
public:
    using CallNumber = std::uint64_t;

    /// Called when a call is sent. \p waits: the response may take long, as that of a watch does.
    CallNumber sent(TimePoint now, bool waits);

    /// Called when the store has responded to a call, even after its timeout. A response to a call
    /// that was sent before the last refusal does not reset the count of refusals.
    void answered(CallNumber call, TimePoint now);

    /// Called when the store, or the network on the way to it, has refused a call.
    void refused(CallNumber call, TimePoint now);

    /// Called when a call has ended without a response: it timed out, or its connection broke.
    void unanswered(CallNumber call, TimePoint now);

    [[nodiscard]] bool failing(TimePoint now) const;

    /// True if the last call failed, so that another one is needed to tell whether the store is
    /// failing.
    [[nodiscard]] bool suspect() const noexcept
    {
        return m_refusals.count > 0 || m_disconnects.count > 0;
    }

    /// True if the store does not respond at all.
    [[nodiscard]] bool silent(TimePoint now) const;

    /// When the store will be considered silent if no response to the open calls arrives until
    /// then; nullopt if no response is pending.
    [[nodiscard]] std::optional<TimePoint> silentAt() const;

private:
    struct OpenCall
    {
        TimePoint sent{};
        bool waits = false;
    };

    /// Consecutive failures of one kind.
    struct Streak
    {
        std::uint32_t count = 0;
        TimePoint last{};

        void add(TimePoint now) noexcept;
        /// A response to a call that was sent before the last failure does not end the streak.
        void answered(TimePoint sent) noexcept;
    };

    void checkSilence(const OpenCall &call, TimePoint now);
    [[nodiscard]] Duration silenceLimit() const noexcept;

    std::map<CallNumber, OpenCall> m_open;
    ResponseTimes m_answerTimes;
    CallNumber m_lastCall = 0;
    TimePoint m_lastResponse{};
    Streak m_refusals;
    Streak m_disconnects;  ///< Each of a call that was sent after the previous disconnect.
    bool m_silent = false; ///< A call got no response, and none has arrived since.
};

} // namespace cowsliprock::cell
