#pragma once

#include <base/time.h>
#include <eventloop/answertimes.h>

#include <cstdint>
#include <map>
#include <optional>

namespace cowsliprock::cell {

/// Judges from all calls of the store whether it answers this daemon. A store that answers slowly
/// works; one that refuses call after call, or closes one connection after the other, or from which
/// nothing at all comes, does not.
/// Load it answers: an outage in which each call would otherwise wait for its own timeout.
class StoreHealth
{
public:
    using CallNumber = std::uint64_t;

    /// A call was sent. \p waits: its answer may take long, as that of a watch does.
    CallNumber sent(TimePoint now, bool waits);

    /// The store answered a call, also a late one. An answer to a call that was sent before the
    /// last refusal does not end the refusals.
    void answered(CallNumber call, TimePoint now);

    /// The store, or the way to it, refused a call.
    void refused(CallNumber call, TimePoint now);

    /// The call ended without an answer: it was overdue, or its connection broke.
    void unanswered(CallNumber call, TimePoint now);

    [[nodiscard]] bool failing(TimePoint now) const;

    /// The last call failed: another one will tell whether the store does.
    [[nodiscard]] bool doubtful() const noexcept
    {
        return m_refusals.count > 0 || m_breaks.count > 0;
    }

    /// True if nothing comes from the store at all.
    [[nodiscard]] bool silent(TimePoint now) const;

    /// When the calls that are open will show that the store is silent, if nothing comes until
    /// then; nothing if no answer is awaited.
    [[nodiscard]] std::optional<TimePoint> silentAt() const;

private:
    struct OpenCall
    {
        TimePoint sent{};
        bool waits = false;
    };

    /// Failures of one kind without an answer in between.
    struct Streak
    {
        std::uint32_t count = 0;
        TimePoint last{};

        void add(TimePoint now) noexcept;
        /// An answer to a call that was sent before the last failure does not end it.
        void answered(TimePoint sent) noexcept;
    };

    void endInSilence(const OpenCall &call, TimePoint now);
    [[nodiscard]] Duration silenceLimit() const noexcept;

    std::map<CallNumber, OpenCall> m_open;
    AnswerTimes m_answerTimes;
    CallNumber m_lastCall = 0;
    TimePoint m_lastHeard{};
    Streak m_refusals;
    Streak m_breaks;       ///< Each of a call that was sent after the one before.
    bool m_silent = false; ///< A call waited in vain, and nothing has come since.
};

} // namespace cowsliprock::cell
