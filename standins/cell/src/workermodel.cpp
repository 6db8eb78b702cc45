#include <standincell/workermodel.h>

#include <algorithm>
#include <utility>

namespace cowsliprock::standincell {

using namespace cell;

namespace {

/// Maximum number of finished runs that an inventory lists; the others follow once these are
/// acknowledged.
constexpr std::size_t maxListedEnds = 500;

} // namespace

WorkerModel::WorkerModel(Timers &timers, Settings settings, Planner planner,
                         WorkerObserver &observer)
    : m_timers(timers)
    , m_settings(std::move(settings))
    , m_planner(std::move(planner))
    , m_observer(observer)
{
    crash();
}

WorkerModel::~WorkerModel()
{
    *m_alive = false;
}

void WorkerModel::crash()
{
    ++m_generation;
    m_generationStart = m_timers.now();
    m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
                 m_timers.timeOfDay().time_since_epoch())
                 .count()
        + static_cast<std::int64_t>(m_generation);
    m_token = 0;
    m_lastEnd = 0;
    m_leaseUntil = {};
    m_running.clear();
    m_closed.clear();
    m_finished.clear();
    m_pendingInventories.clear();
}

void WorkerModel::replace(const std::string &id)
{
    m_settings.id = id;
    crash();
}

std::chrono::milliseconds WorkerModel::clock() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_timers.now() - m_generationStart)
        + std::chrono::milliseconds(1);
}

Resources WorkerModel::held() const
{
    Resources sum;
    for (const auto &[key, running] : m_running)
        sum += running.plan.amount;
    return sum;
}

bool WorkerModel::rejectsToken(std::uint64_t token)
{
    if (token < m_token)
        return true;
    m_token = token;
    return false;
}

OrderOutcome WorkerModel::start(const StartOrder &order)
{
    if (rejectsToken(order.fencingToken))
        return OrderRefused{ OrderRefusal::Fenced, clock() };
    const Key key(order.task, order.run);
    if (m_running.contains(key))
        return OrderAccepted{ clock() };
    extendLease(order.leaseUntil);
    if (const auto closed = m_closed.find(order.task);
        closed != m_closed.end() && order.run <= closed->second) {
        return OrderRefused{ OrderRefusal::OldRun, clock() };
    }
    if (order.leaseUntil <= clock())
        return OrderRefused{ OrderRefusal::Late, clock() };
    const auto before = held();
    const auto plan = m_planner(order.task);
    m_running.emplace(key, Running{ plan, false, false, {}, m_timers.now(), 0 });
    m_observer.started(m_settings.id, order.task, order.run, before, m_settings.capacity);
    scheduleEnd(key);
    return OrderAccepted{ clock() };
}

void WorkerModel::setCapacity(const Resources &capacity)
{
    const auto former = std::exchange(m_settings.capacity, capacity);
    m_observer.capacityChanged(m_settings.id, former);
}

void WorkerModel::setSpeed(double speed)
{
    for (auto &[key, running] : m_running)
        accountWork(running);
    m_speed = speed;
    for (const auto &[key, running] : m_running)
        scheduleEnd(key);
}

void WorkerModel::accountWork(Running &running) const
{
    const auto passed = m_timers.now() - running.accountedAt;
    running.done += std::chrono::duration_cast<Duration>(passed * m_speed);
    running.accountedAt = m_timers.now();
}

void WorkerModel::scheduleEnd(const Key &key)
{
    auto &running = m_running.at(key);
    running.timer = ++m_lastTimer;
    if (m_speed <= 0)
        return;
    const auto remaining =
        std::chrono::duration_cast<Duration>((running.plan.work - running.done) / m_speed);
    m_timers.after(remaining,
                   [this, alive = m_alive, key, generation = m_generation, timer = running.timer] {
                       if (!*alive || generation != m_generation)
                           return;
                       const auto entry = m_running.find(key);
                       if (entry == m_running.end() || entry->second.timer != timer)
                           return;
                       entry->second.workDone = true;
                       const auto gangSize = entry->second.plan.gangSize;
                       const bool complete = gangSize == 0 || !countGangMembers
                           || countGangMembers(key.first, key.second) == gangSize;
                       if (complete)
                           workDone(key);
                   });
}

void WorkerModel::workDone(const Key &key)
{
    const auto entry = m_running.find(key);
    if (entry == m_running.end() || entry->second.stopping)
        return;
    const auto kind = entry->second.plan.fails ? EndKind::Failed : EndKind::Done;
    const bool gang = entry->second.plan.gangSize != 0;
    finish(key, kind);
    if (gang && onGangEnded)
        onGangEnded(key.first, key.second, kind == EndKind::Done ? EndKind::Done : EndKind::Broken);
}

void WorkerModel::endGangRun(const TaskId &member, std::uint32_t run, EndKind kind)
{
    std::vector<Key> keys;
    for (const auto &[key, running] : m_running) {
        if (key.second == run && key.first.stepText() == member.stepText())
            keys.push_back(key);
    }
    for (const auto &key : keys)
        finish(key, kind);
}

std::uint32_t WorkerModel::present(const TaskId &step, std::uint32_t run) const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_running.begin(), m_running.end(), [&](const auto &entry) {
            return entry.first.second == run && entry.first.first.stepText() == step.stepText();
        }));
}

std::uint32_t WorkerModel::membersDone(const TaskId &step, std::uint32_t run) const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_running.begin(), m_running.end(), [&](const auto &entry) {
            return entry.second.workDone && entry.first.second == run
                && entry.first.first.stepText() == step.stepText();
        }));
}

OrderOutcome WorkerModel::stop(const TaskId &task, std::uint32_t run, std::uint64_t token)
{
    if (rejectsToken(token))
        return OrderRefused{ OrderRefusal::Fenced, clock() };
    auto &closed = m_closed[task];
    closed = std::max(closed, run);
    const Key key(task, run);
    if (const auto entry = m_running.find(key);
        entry != m_running.end() && !entry->second.stopping) {
        entry->second.stopping = true;
        m_timers.after(m_settings.stopTime,
                       [this, alive = m_alive, key, generation = m_generation] {
                           if (*alive && generation == m_generation)
                               finish(key, EndKind::Stopped);
                       });
    }
    return OrderAccepted{ clock() };
}

void WorkerModel::inventory(const InventoryRequest &request, Done<InventoryOutcome> done)
{
    if (rejectsToken(request.fencingToken)) {
        done(OrderRefused{ OrderRefusal::Fenced, clock() });
        return;
    }
    if (request.leaseUntil)
        extendLease(*request.leaseUntil);
    for (const auto &[end, leaseExpiries] : m_finished) {
        if (end.number <= request.acknowledged && leaseExpiries == m_leaseExpiries)
            m_observer.acknowledged(m_settings.id, end);
    }
    std::erase_if(m_finished, [&request](const Finished &entry) {
        return entry.end.number <= request.acknowledged;
    });
    if (!m_finished.empty() || request.wait <= Duration::zero()) {
        done(currentInventory());
        return;
    }
    const auto number = ++m_lastPendingInventory;
    m_pendingInventories.emplace_back(number, std::move(done));
    m_timers.after(request.wait, [this, alive = m_alive, number] {
        if (!*alive)
            return;
        const auto entry =
            std::find_if(m_pendingInventories.begin(), m_pendingInventories.end(),
                         [number](const auto &pending) { return pending.first == number; });
        if (entry == m_pendingInventories.end())
            return;
        const auto answer = std::move(entry->second);
        m_pendingInventories.erase(entry);
        answer(currentInventory());
    });
}

Inventory WorkerModel::currentInventory() const
{
    Inventory inventory;
    inventory.born = m_born;
    inventory.clock = clock();
    for (const auto &[key, running] : m_running) {
        if (running.stopping && !m_settings.listsStoppingRuns)
            continue;
        auto current = running;
        accountWork(current);
        const auto percent = current.plan.work > Duration::zero()
            ? std::min<std::int64_t>(100 * current.done / current.plan.work, 100)
            : 100;
        inventory.running.push_back(
            { key.first, key.second, "", static_cast<std::uint32_t>(percent) });
    }
    for (const auto &entry : m_finished) {
        if (inventory.finished.size() == maxListedEnds) {
            inventory.moreFinished = true;
            break;
        }
        inventory.finished.push_back(entry.end);
    }
    return inventory;
}

void WorkerModel::extendLease(std::chrono::milliseconds until)
{
    const auto longest =
        clock() + std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.maxLease);
    m_leaseUntil = std::max(m_leaseUntil, std::min(until, longest));
    checkLease();
}

void WorkerModel::checkLease()
{
    const auto remaining = m_leaseUntil - clock();
    if (remaining > std::chrono::milliseconds::zero()) {
        m_timers.after(remaining, [this, alive = m_alive, generation = m_generation] {
            if (*alive && generation == m_generation && m_leaseUntil <= clock())
                checkLease();
        });
        return;
    }
    ++m_leaseExpiries;
    while (!m_running.empty())
        finish(m_running.begin()->first, EndKind::Lapsed);
}

void WorkerModel::finish(Key key, EndKind kind)
{
    if (m_running.erase(key) == 0)
        return;
    auto &closed = m_closed[key.first];
    closed = std::max(closed, key.second);
    m_finished.push_back({ { ++m_lastEnd, key.first, key.second, kind, "" }, m_leaseExpiries });
    m_observer.ended(m_settings.id, m_finished.back().end);
    answerPendingInventories();
}

void WorkerModel::answerPendingInventories()
{
    auto waiting = std::move(m_pendingInventories);
    m_pendingInventories.clear();
    for (auto &[number, done] : waiting)
        done(currentInventory());
}

void linkGangs(const std::vector<WorkerModel *> &workers)
{
    for (WorkerModel *worker : workers) {
        worker->countGangMembers = [workers](const TaskId &task, std::uint32_t run) {
            std::uint32_t sum = 0;
            for (const WorkerModel *other : workers)
                sum += other->membersDone(task, run);
            return sum;
        };
        worker->onGangEnded = [workers](const TaskId &task, std::uint32_t run, EndKind kind) {
            for (WorkerModel *other : workers)
                other->endGangRun(task, run, kind);
        };
    }
}

} // namespace cowsliprock::standincell
