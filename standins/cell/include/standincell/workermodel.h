#pragma once

#include <cell/model.h>
#include <cell/ports.h>
#include <eventloop/timers.h>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cowsliprock::standincell {

/// Behaviour of a task on a worker.
struct TaskPlan
{
    Resources amount;
    Duration work{};
    bool fails = false;
    std::uint32_t gangSize = 0; ///< 0 if the task is not part of a gang.
};

/// Receives the events of workers, so that the guarantees of the system can be checked.
class WorkerObserver
{
public:
    virtual ~WorkerObserver() = default;
    virtual void started(const std::string &worker, const cell::TaskId &task, std::uint32_t run,
                         const Resources &heldBefore, const Resources &capacity) = 0;
    virtual void ended(const std::string &worker, const cell::FinishedTask &end) = 0;
    /// Called when an end was acknowledged under a valid lease; the worker may discard it.
    virtual void acknowledged(const std::string &worker, const cell::FinishedTask &end) = 0;
    virtual void capacityChanged(const std::string &worker, const Resources &former) = 0;
    /// Called when the worker has lost all its tasks and state.
    virtual void crashed(const std::string &worker) = 0;
};

/// In-memory model of a worker: runs tasks under a lease, tracks the highest fencing token and
/// lists ended runs until they are acknowledged.
class WorkerModel
{
public:
    using Planner = std::function<TaskPlan(const cell::TaskId &)>;
    /// Counts the members of a gang on all workers that have done their work.
    using GangMemberCounter = std::function<std::uint32_t(const cell::TaskId &, std::uint32_t run)>;

    struct Settings
    {
        std::string id;
        Resources capacity;
        Duration maxLease{ std::chrono::seconds(10) };
        Duration stopTime{ std::chrono::milliseconds(50) };
        bool listsStoppingRuns = true; ///< Lists a run as running while it is being stopped.
    };

    WorkerModel(Timers &timers, Settings settings, Planner planner, WorkerObserver &observer);
    ~WorkerModel();
    WorkerModel(const WorkerModel &) = delete;
    WorkerModel &operator=(const WorkerModel &) = delete;

    [[nodiscard]] cell::OrderOutcome start(const cell::StartOrder &order);
    [[nodiscard]] cell::OrderOutcome stop(const cell::TaskId &task, std::uint32_t run,
                                          std::uint64_t token);
    /// Replies when there is an end to list or after the wait time of the request.
    void inventory(const cell::InventoryRequest &request, cell::Done<cell::InventoryOutcome> done);

    /// Sets the speed of all tasks relative to normal; 0 stalls them.
    void setSpeed(double speed);

    /// Changes the capacity. Tasks that no longer fit go on running.
    void setCapacity(const Resources &capacity);

    /// Discards all state and begins a new generation, as after a restart.
    void crash();

    /// Continues as another worker at the same address, with all state discarded.
    void replace(const std::string &id);

    /// Ends the members of a gang run on this worker after another member has ended.
    void endGangRun(const cell::TaskId &member, std::uint32_t run, cell::EndKind kind);

    [[nodiscard]] const std::string &id() const noexcept { return m_settings.id; }
    [[nodiscard]] const Resources &capacity() const noexcept { return m_settings.capacity; }
    [[nodiscard]] std::int64_t born() const noexcept { return m_born; }
    [[nodiscard]] std::chrono::milliseconds clock() const;
    [[nodiscard]] std::uint32_t present(const cell::TaskId &step, std::uint32_t run) const;
    /// Members of a gang run on this worker that have done their work and wait for the others.
    [[nodiscard]] std::uint32_t membersDone(const cell::TaskId &step, std::uint32_t run) const;
    /// Resources of all running tasks.
    [[nodiscard]] Resources held() const;

    /// Set by linkGangs(), so that the members of a gang on several workers end together.
    std::function<void(const cell::TaskId &, std::uint32_t, cell::EndKind)> onGangEnded;
    GangMemberCounter countGangMembers;

private:
    struct Running
    {
        TaskPlan plan;
        bool stopping = false;
        bool workDone = false; ///< Waits for the other members of its gang.
        Duration done{};       ///< Work done up to accountedAt.
        TimePoint accountedAt{};
        std::uint64_t timer = 0;
    };
    using Key = std::pair<cell::TaskId, std::uint32_t>;

    [[nodiscard]] bool rejectsToken(std::uint64_t token);
    void extendLease(std::chrono::milliseconds until);
    void checkLease();
    void finish(Key key, cell::EndKind kind);
    void accountWork(Running &running) const;
    void scheduleEnd(const Key &key);
    void workDone(const Key &key);
    void answerPendingInventories();
    [[nodiscard]] cell::Inventory currentInventory() const;

    Timers &m_timers;
    Settings m_settings;
    Planner m_planner;
    WorkerObserver &m_observer;
    std::int64_t m_born = 0;
    TimePoint m_generationStart{};
    double m_speed = 1;
    std::uint64_t m_lastTimer = 0;
    std::uint64_t m_token = 0;
    std::uint64_t m_lastEnd = 0;
    std::chrono::milliseconds m_leaseUntil{};
    std::map<Key, Running> m_running;
    std::map<cell::TaskId, std::uint32_t> m_closed; ///< Highest stopped or ended run of each task.
    struct Finished
    {
        cell::FinishedTask end;
        std::uint64_t leaseExpiries = 0; ///< Number of lease expiries when the end was recorded.
    };

    std::vector<Finished> m_finished;
    std::uint64_t m_leaseExpiries = 0;
    std::list<std::pair<std::uint64_t, cell::Done<cell::InventoryOutcome>>> m_pendingInventories;
    std::uint64_t m_lastPendingInventory = 0;
    std::uint64_t m_generation = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/// Connects \p workers, so that gangs across them start work and end together.
void linkGangs(const std::vector<WorkerModel *> &workers);

} // namespace cowsliprock::standincell
