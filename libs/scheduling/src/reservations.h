#pragma once

#include "ownerstate.h"
#include "preemption.h"

namespace cowsliprock::scheduling {

/// Owner side of placements: reservations, starts and stops on the workers of owned partitions.
class Reservations
{
public:
    explicit Reservations(OwnerState &state)
        : m_state(state)
        , m_preemption(state)
    { }

    void reserve(const DaemonName &from, const message::Reserve &request);
    void release(const message::ReleaseReservation &request);
    void startTask(const DaemonName &from, const message::StartTask &request);
    void stopTask(const DaemonName &from, const message::StopTask &request);
    void startResult(const event::TaskStartResult &result);
    void stopResult(const event::TaskStopResult &result);

    /// Ends expired reservations, repeats stops, grants reservations whose room is free.
    void tick();

    /// Releases all reservations.
    void drain();

    /// True while a start may still take effect that this daemon has sent.
    [[nodiscard]] bool startsInProgress() const;

private:
    void place(const DaemonName &from, const message::Reserve &request);
    void refuse(const DaemonName &to, const AttemptId &attempt, const char *reason);
    void grantIfFree(Hold &hold);
    void start(Hold &hold);
    void startRefused(Hold &hold);
    void answerUnknownStart(const DaemonName &from, const message::StartTask &request);
    void answerRemembered(const DaemonName &from, const AttemptId &attempt,
                          const WorkerName &worker, AttemptMemory::Record &record);
    void tickHold(Hold &hold);

    OwnerState &m_state;
    Preemption m_preemption;
};

} // namespace cowsliprock::scheduling
