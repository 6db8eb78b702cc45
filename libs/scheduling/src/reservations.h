#pragma once

#include "ownerstate.h"
#include "preemption.h"

namespace cowsliprock::scheduling {

/// Owner side of task placement: reservations, starts and stops on the workers of owned
/// partitions.
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

    /// Expires reservations, retries stop requests and grants pending reservations whose capacity
    /// has become free.
    void tick();

    /// Releases all reservations that have not been started.
    void drain();

    /// True while a start sent by this daemon may still take effect.
    [[nodiscard]] bool startsInProgress() const;

private:
    void place(const DaemonName &from, const message::Reserve &request);
    void refuse(const DaemonName &to, const AttemptId &attempt, const char *reason);
    void grantIfFree(Allocation &allocation);
    void start(Allocation &allocation);
    void startRefused(Allocation &allocation);
    void answerUnknownStart(const DaemonName &from, const message::StartTask &request);
    void answerFromRecord(const DaemonName &from, const AttemptId &attempt,
                          const WorkerName &worker, AttemptMemory::Record &record);
    void tickAllocation(Allocation &allocation);

    OwnerState &m_state;
    Preemption m_preemption;
};

} // namespace cowsliprock::scheduling
