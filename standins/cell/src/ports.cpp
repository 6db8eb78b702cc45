#include "ports.h"

#include <algorithm>
#include <utility>

namespace cowsliprock::standincell {

using namespace cell;

namespace {

constexpr std::chrono::milliseconds callTimeout{ 700 };
constexpr std::chrono::milliseconds lateDelay{ 3000 };
/// Time beyond the requested wait after which a watch call times out.
constexpr std::chrono::milliseconds watchGrace{ 500 };

/// Time after the timeout in which late replies are still delivered.
constexpr std::chrono::milliseconds lateReplyWindow{ 3000 };
// Message sizes on a link to workers, including headers.
constexpr std::size_t requestBytes = 300;
constexpr std::size_t answerBytes = 200;
constexpr std::size_t rowBytes = 60;
constexpr std::size_t resetBytes = 40;

std::size_t bytesOf(const InventoryOutcome &outcome)
{
    const auto *inventory = std::get_if<Inventory>(&outcome);
    const std::size_t rows =
        inventory == nullptr ? 0 : inventory->running.size() + inventory->finished.size();
    return answerBytes + rows * rowBytes;
}

Error timedOut(const char *step)
{
    return Error{ ErrorKind::Timeout, step, "", "no answer" };
}

Error refused(const char *step)
{
    return Error{ ErrorKind::Unavailable, step, "", "connection refused" };
}

} // namespace

World::NodeSlot::NodeSlot(World &world, VirtualTime &time, StoreModel &storeModel,
                          std::string nodeName)
    : name(std::move(nodeName))
    , log(-1, name, { 100000, 64UL * 1024UL * 1024UL, 64UL * 1024UL * 1024UL })
    , timers(std::make_unique<NodeTimers>(world, time, *this))
    , store(std::make_unique<NodeStore>(world, time, storeModel, *this))
    , workers(std::make_unique<NodeWorkers>(world, time, *this))
    , advice(std::make_unique<NodeAdvice>(world, time, *this))
    , peers(std::make_unique<NodePeers>(world, time, *this))
{ }

World::NodeSlot::~NodeSlot() = default;

bool World::WorkerSlot::checkConnection(const std::string &node)
{
    const auto [entry, added] = connections.try_emplace(node, model->born());
    return std::exchange(entry->second, model->born()) == model->born();
}

void World::WorkerSlot::crash()
{
    model->crash();
    shownBorn.clear();
    for (const auto &[number, reset] : std::exchange(pendingPolls, {}))
        reset();
}

void NodeTimers::after(Duration delay, std::function<void()> action)
{
    m_time.after(delay,
                 [this, generation = m_slot.generation, action = std::move(action)]() mutable {
                     deliver(generation, std::move(action));
                 });
}

std::uint64_t NodeTimers::inspections() const
{
    return m_world.inspectionCost().count() > 0 ? m_slot.metrics.counter("scheduler.looks") : 0;
}

TimePoint NodeTimers::now() const noexcept
{
    if (!m_running)
        return m_time.now();
    const auto count = static_cast<std::int64_t>(inspections() - m_inspectionsBefore);
    return m_time.now() + std::chrono::duration_cast<Duration>(m_world.inspectionCost() * count);
}

void NodeTimers::deliver(std::uint64_t generation, std::function<void()> action)
{
    if (generation != m_slot.generation)
        return;
    const auto availableAt = std::max(m_slot.frozenUntil, m_busyUntil);
    if (availableAt > m_time.now()) {
        m_time.after(availableAt - m_time.now(),
                     [this, generation, action = std::move(action)]() mutable {
                         deliver(generation, std::move(action));
                     });
        return;
    }
    m_inspectionsBefore = inspections();
    m_running = true;
    action();
    m_busyUntil = now() + m_world.eventCost();
    m_running = false;
}

template <typename T>
void NodeStore::call(bool write, std::function<T()> action, Done<Result<T>> done)
{
    const auto generation = m_slot.generation;
    const auto answer = [this, generation, done](Duration delay, Result<T> result) {
        m_time.after(delay, [this, generation, done, result = std::move(result)] {
            m_slot.timers->deliver(generation, [done, result] { done(result); });
        });
    };
    switch (m_slot.fault) {
    case StoreFault::Refuse:
        answer(m_world.delay(), Error{ ErrorKind::Refused, "store", "", "refused" });
        return;
    case StoreFault::Silent:
        answer(callTimeout, timedOut("store"));
        return;
    case StoreFault::Reset:
        answer(m_world.delay(), timedOut("store"));
        return;
    case StoreFault::LoseReply:
    case StoreFault::ApplyLate:
        if (write) {
            const bool late = m_slot.fault == StoreFault::ApplyLate;
            m_time.after(late ? Duration(lateDelay) : m_world.delay(),
                         [action] { static_cast<void>(action()); });
            answer(callTimeout, timedOut("store"));
            return;
        }
        break;
    case StoreFault::None:
        break;
    }
    m_time.after(m_world.delay(), [this, action, answer] { answer(m_world.delay(), action()); });
}

void NodeStore::read(const std::string &key, Done<Result<std::optional<StoreItem>>> done)
{
    call<std::optional<StoreItem>>(
        false, [this, key] { return m_store.read(key); }, std::move(done));
}

void NodeStore::list(const std::string &prefix, const std::string &after,
                     Done<Result<StorePage>> done)
{
    call<StorePage>(
        false, [this, prefix, after] { return m_store.list(prefix, after); }, std::move(done));
}

void NodeStore::watch(const std::string &prefix, std::uint64_t after, Duration wait,
                      Done<Result<StoreEvents>> done)
{
    const auto generation = m_slot.generation;
    const auto answer = [this, generation, done](Duration delay,
                                                 const Result<StoreEvents> &result) {
        m_time.after(delay, [this, generation, done, result] {
            m_slot.timers->deliver(generation, [done, result] { done(result); });
        });
    };
    const Duration watchTimeout = wait + watchGrace;
    switch (m_slot.fault) {
    case StoreFault::Refuse:
        answer(m_world.delay(), Error{ ErrorKind::Refused, "store.watch", "", "refused" });
        return;
    case StoreFault::Reset:
        answer(m_world.delay(), timedOut("store.watch"));
        return;
    case StoreFault::Silent:
        answer(watchTimeout, timedOut("store.watch"));
        return;
    case StoreFault::None:
    case StoreFault::LoseReply:
    case StoreFault::ApplyLate:
        break;
    }
    m_time.after(m_world.delay(), [this, prefix, after, wait, watchTimeout, answer] {
        m_store.watch(prefix, after, wait, [this, watchTimeout, answer](const StoreEvents &events) {
            // The fault may have been injected after the watch was opened.
            if (m_slot.fault == StoreFault::Silent)
                answer(watchTimeout, timedOut("store.watch"));
            else
                answer(m_world.delay(), events);
        });
    });
}

void NodeStore::commit(const Transaction &transaction, Done<Result<TransactionOutcome>> done)
{
    call<TransactionOutcome>(
        true, [this, transaction] { return m_store.commit(transaction); }, std::move(done));
}

void NodeStore::grantLease(Duration timeToLive, Done<Result<std::uint64_t>> done)
{
    call<std::uint64_t>(
        false, [this, timeToLive] { return m_store.grantLease(timeToLive); }, std::move(done));
}

void NodeStore::keepLease(std::uint64_t lease, Done<Result<bool>> done)
{
    call<bool>(
        false, [this, lease] { return m_store.keepLease(lease); }, std::move(done));
}

void NodeStore::endLease(std::uint64_t lease)
{
    m_time.after(m_world.delay(), [this, lease] { m_store.endLease(lease); });
}

template <typename T>
class NodeWorkers::Answer : public std::enable_shared_from_this<Answer<T>>
{
public:
    Answer(VirtualTime &time, World::NodeSlot &slot, Duration timeout, Done<Result<T>> done)
        : m_time(time)
        , m_slot(slot)
        , m_generation(slot.generation)
        , m_readUntil(time.now() + timeout + lateReplyWindow)
        , m_done(std::move(done))
    { }

    void timeOut(const char *step)
    {
        if (!std::exchange(m_reported, true))
            invokeCallback(timedOut(step));
    }

    void complete(Duration delay, const Result<T> &result)
    {
        m_time.after(delay, [self = this->shared_from_this(), result] {
            if (std::exchange(self->m_completed, true) || self->m_time.now() > self->m_readUntil)
                return;
            self->m_reported = true;
            self->invokeCallback(result);
        });
    }

private:
    void invokeCallback(const Result<T> &result)
    {
        m_slot.timers->deliver(m_generation, [done = m_done, result] { done(result); });
    }

    VirtualTime &m_time;
    World::NodeSlot &m_slot;
    std::uint64_t m_generation;
    TimePoint m_readUntil;
    Done<Result<T>> m_done;
    bool m_reported = false;
    bool m_completed = false;
};

template <typename T>
std::shared_ptr<NodeWorkers::Answer<T>> NodeWorkers::awaitAnswer(Duration timeout, const char *step,
                                                                 const Done<Result<T>> &done)
{
    auto answer = std::make_shared<Answer<T>>(m_time, m_slot, timeout, done);
    m_time.after(timeout, [answer, step] { answer->timeOut(step); });
    return answer;
}

Duration NodeWorkers::requestDelay(std::size_t bytes)
{
    return m_world.delay() + m_outboundLink.transmit(m_time.now(), bytes, m_world.linkRate());
}

Duration NodeWorkers::replyDelay(std::size_t bytes)
{
    return m_world.delay() + m_inboundLink.transmit(m_time.now(), bytes, m_world.linkRate());
}

NodeWorkers::Connection NodeWorkers::connect(const WorkerTarget &worker)
{
    auto *slot = m_world.findWorker(worker.id);
    return { slot, slot == nullptr ? 0 : slot->model->born() };
}

bool NodeWorkers::isStale(const Connection &connection) const
{
    const bool known = connection.slot->checkConnection(m_slot.name);
    return !known || connection.slot->model->born() != connection.born;
}

void NodeWorkers::order(const WorkerTarget &worker, std::optional<std::int64_t> incarnation,
                        const OrderCall &call, std::size_t bytes,
                        const std::function<OrderOutcome(WorkerModel &)> &action,
                        const Done<Result<OrderOutcome>> &done)
{
    const auto answer = awaitAnswer(call.timeout, "worker.order", done);
    m_time.after(
        requestDelay(bytes),
        [this, worker, incarnation, connection = connect(worker), late = m_world.isOrderLate(),
         action, answer] {
            auto *slot = connection.slot;
            if (slot != nullptr && slot->refuses(m_slot.name))
                answer->complete(replyDelay(resetBytes), refused("worker.order"));
            if (slot == nullptr || !slot->reachableFrom(m_slot.name))
                return;
            if (isStale(connection)) {
                answer->complete(replyDelay(resetBytes), timedOut("worker.order"));
            } else if (slot->model->id() != worker.id
                       || slot->model->born() != incarnation.value_or(slot->model->born())) {
                answer->complete(replyDelay(answerBytes),
                                 OrderOutcome(OrderRefused{ OrderRefusal::OtherLife, {} }));
            } else if (late) {
                m_time.after(lateDelay,
                             [this, slot, born = connection.born, action, sent = m_time.now()] {
                                 if (slot->model->born() != born)
                                     return;
                                 m_world.guarantees().setOrderTime(sent);
                                 static_cast<void>(action(*slot->model));
                                 m_world.guarantees().setOrderTime(std::nullopt);
                             });
            } else {
                const auto outcome = action(*slot->model);
                if (!m_world.isAnswerLost())
                    answer->complete(replyDelay(answerBytes), outcome);
            }
        });
}

void NodeWorkers::start(const WorkerTarget &worker, const StartOrder &startOrder,
                        const OrderCall &call, Done<Result<OrderOutcome>> done)
{
    order(
        worker, startOrder.incarnation, call, requestBytes + startOrder.spec.size(),
        [startOrder](WorkerModel &model) { return model.start(startOrder); }, done);
}

void NodeWorkers::stop(const WorkerTarget &worker, const StopOrder &stopOrder,
                       const OrderCall &call, Done<Result<OrderOutcome>> done)
{
    order(
        worker, std::nullopt, call, requestBytes,
        [stopOrder](WorkerModel &model) {
            return model.stop(stopOrder.task, stopOrder.run, stopOrder.fencingToken);
        },
        done);
}

void NodeWorkers::inventory(const WorkerTarget &worker, const InventoryRequest &request,
                            Done<Result<InventoryOutcome>> done)
{
    if (const auto *target = m_world.findWorker(worker.id); request.incarnation
        && (target == nullptr || !target->hasShown(m_slot.name, *request.incarnation))) {
        inventory(worker, forAnyIncarnation(request), std::move(done));
        return;
    }
    const auto answer = awaitAnswer(request.wait + request.timeout, "worker.inventory", done);
    m_time.after(
        requestDelay(requestBytes), [this, worker, connection = connect(worker), request, answer] {
            auto *slot = connection.slot;
            if (slot != nullptr && slot->refuses(m_slot.name))
                answer->complete(replyDelay(resetBytes), refused("worker.inventory"));
            if (slot == nullptr || !slot->reachableFrom(m_slot.name))
                return;
            if (isStale(connection)) {
                slot->shownBorn.erase(m_slot.name);
                answer->complete(replyDelay(resetBytes), timedOut("worker.inventory"));
                return;
            }
            if (slot->model->id() != worker.id) {
                answer->complete(replyDelay(answerBytes),
                                 InventoryOutcome(OrderRefused{ OrderRefusal::OtherLife, {} }));
                return;
            }
            const bool lost = m_world.isAnswerLost();
            const auto poll = ++slot->lastPoll;
            slot->pendingPolls.emplace(poll, [this, slot, answer] {
                if (slot->reachableFrom(m_slot.name))
                    answer->complete(replyDelay(resetBytes), timedOut("worker.inventory"));
            });
            slot->model->inventory(
                request, [this, slot, poll, answer, lost](const InventoryOutcome &outcome) {
                    slot->pendingPolls.erase(poll);
                    slot->shownBorn.erase(m_slot.name);
                    if (lost || !slot->reachableFrom(m_slot.name))
                        return;
                    slot->shownBorn[m_slot.name] = slot->model->born();
                    answer->complete(replyDelay(bytesOf(outcome)), outcome);
                });
        });
}

void NodeAdvice::advise(const std::string &step, const std::vector<std::string> &workers,
                        Duration /*timeout*/, Done<Result<Advice>> done)
{
    const auto generation = m_slot.generation;
    // The requests of a node are processed sequentially.
    m_adviceFreeAt =
        std::max(m_adviceFreeAt, m_time.now()) + m_world.adviceTime(step, workers.size());
    m_time.after(m_adviceFreeAt - m_time.now(), [this, generation, step, workers, done] {
        Advice advice;
        advice.validity = m_world.adviceValidity(step);
        for (const auto &worker : workers) {
            if (m_world.allowed(step, worker))
                advice.allowed.push_back({ worker, "ticket-" + worker });
        }
        m_slot.timers->deliver(generation, [done, advice] { done(advice); });
    });
}

void NodePeers::call(const PeerCall &call, Done<Result<PeerAnswer>> done)
{
    const auto generation = m_slot.generation;
    m_time.after(m_world.delay(), [this, generation, call, done] {
        auto *peer = m_world.findNode(call.address);
        if (peer != nullptr && m_world.isLinkCut(m_slot.name, peer->name)) {
            m_time.after(call.timeout, [this, generation, done] {
                m_slot.timers->deliver(generation, [done] { done(timedOut("peer")); });
            });
            return;
        }
        if (peer == nullptr || !peer->node) {
            m_slot.timers->deliver(generation, [done] {
                done(Error{ ErrorKind::Unavailable, "peer", "", "refused" });
            });
            return;
        }
        struct Pending
        {
            bool answered = false;
        };
        auto pending = std::make_shared<Pending>();
        const auto finish = [this, generation, pending, done](const Result<PeerAnswer> &answer) {
            if (std::exchange(pending->answered, true))
                return;
            m_slot.timers->deliver(generation, [done, answer] { done(answer); });
        };
        m_time.after(call.timeout, [finish] { finish(timedOut("peer")); });
        peer->timers->deliver(peer->generation, [this, peer, call, finish] {
            peer->node->peerCall(
                call.method, call.path, call.body, [this, peer, finish](const PeerAnswer &answer) {
                    if (!m_world.isLinkCut(peer->name, m_slot.name))
                        m_time.after(m_world.delay(), [finish, answer] { finish(answer); });
                });
        });
    });
}

} // namespace cowsliprock::standincell
