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

/// What a task does on a worker.
struct TaskPlan
{
    Resources amount;
    Duration work{};
    bool fails = false;
    std::uint32_t gangSize = 0; ///< 0: the task works alone.
};

/// Called by workers; the promises of the system are checked against it.
class WorkerObserver
{
public:
    virtual ~WorkerObserver() = default;
    virtual void started(const std::string &worker, const cell::TaskId &task, std::uint32_t run,
                         const Resources &heldBefore, const Resources &capacity) = 0;
    virtual void ended(const std::string &worker, const cell::FinishedTask &end) = 0;
    /// The worker may forget this end: it was acknowledged while the lease was running.
    virtual void acknowledged(const std::string &worker, const cell::FinishedTask &end) = 0;
    /// Everything on the worker is gone.
    virtual void crashed(const std::string &worker) = 0;
};

/// A worker: runs tasks under a lease, keeps the highest fencing token and a list of ends.
class WorkerModel
{
public:
    using Planner = std::function<TaskPlan(const cell::TaskId &)>;
    /// Members of a gang's run that are at work on any worker.
    using GangPresence = std::function<std::uint32_t(const cell::TaskId &, std::uint32_t run)>;

    struct Settings
    {
        std::string id;
        Resources capacity;
        Duration longestLease{ std::chrono::seconds(10) };
        Duration stopTime{ std::chrono::milliseconds(50) };
    };

    WorkerModel(Timers &timers, Settings settings, Planner planner, WorkerObserver &observer);
    ~WorkerModel();
    WorkerModel(const WorkerModel &) = delete;
    WorkerModel &operator=(const WorkerModel &) = delete;

    [[nodiscard]] cell::OrderOutcome start(const cell::StartOrder &order);
    [[nodiscard]] cell::OrderOutcome stop(const cell::TaskId &task, std::uint32_t run,
                                          std::uint64_t token);
    /// Answers when an end is listed or after the request's wait.
    void inventory(const cell::InventoryRequest &request, cell::Done<cell::InventoryOutcome> done);

    /// From now on everything works at this share of its usual speed; 0: it stands still.
    void setSpeed(double speed);

    /// Ends this life; nothing of it is left. A later call of any member belongs to the next one.
    void crash();

    /// Ends a run of a gang since another member has ended.
    void endMember(const cell::TaskId &member, std::uint32_t run, cell::EndKind kind);

    [[nodiscard]] const std::string &id() const noexcept { return m_settings.id; }
    [[nodiscard]] const Resources &capacity() const noexcept { return m_settings.capacity; }
    [[nodiscard]] std::int64_t born() const noexcept { return m_born; }
    [[nodiscard]] std::chrono::milliseconds clock() const;
    [[nodiscard]] std::uint32_t present(const cell::TaskId &step, std::uint32_t run) const;

    /// Set by the world, so that gangs on several workers end together.
    std::function<void(const cell::TaskId &, std::uint32_t, cell::EndKind)> gangEnded;
    GangPresence gangPresence;

private:
    struct Running
    {
        TaskPlan plan;
        bool stopping = false;
        Duration done{};       ///< Work up to ...
        TimePoint countedAt{}; ///< ... this time.
        std::uint64_t timer = 0;
    };
    using Key = std::pair<cell::TaskId, std::uint32_t>;

    [[nodiscard]] bool fenced(std::uint64_t token);
    void extendLease(std::chrono::milliseconds until);
    void checkLease();
    void finish(Key key, cell::EndKind kind);
    void countWork(Running &running) const;
    void scheduleEnd(const Key &key);
    void workDone(const Key &key);
    void answerWaiting();
    [[nodiscard]] cell::Inventory listing() const;
    [[nodiscard]] Resources held() const;

    Timers &m_timers;
    Settings m_settings;
    Planner m_planner;
    WorkerObserver &m_observer;
    std::int64_t m_born = 0;
    TimePoint m_lifeStart{};
    double m_speed = 1;
    std::uint64_t m_lastTimer = 0;
    std::uint64_t m_token = 0;
    std::uint64_t m_lastEnd = 0;
    std::chrono::milliseconds m_leaseUntil{};
    std::map<Key, Running> m_running;
    std::map<cell::TaskId, std::uint32_t> m_closed; ///< Highest run that was stopped or has ended.
    struct Finished
    {
        cell::FinishedTask end;
        std::uint64_t lapses = 0; ///< Leases that had lapsed when it was listed.
    };

    std::vector<Finished> m_finished;
    std::uint64_t m_lapses = 0;
    std::list<std::pair<std::uint64_t, cell::Done<cell::InventoryOutcome>>> m_waiting;
    std::uint64_t m_lastWaiting = 0;
    std::uint64_t m_life = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/// Lets the members of gangs on any of \p workers see each other and end together.
void linkGangs(const std::vector<WorkerModel *> &workers);

} // namespace cowsliprock::standincell
