#include "requestsstage.h"

namespace cowsliprock::requests {

namespace {

constexpr Duration loadPublishInterval = std::chrono::milliseconds(250);
constexpr Duration latePublishInterval = std::chrono::seconds(1);

const StageRegistrar registrar(30, "requests", [](const KernelSettings &settings) {
    return std::make_unique<RequestsStage>(settings);
});

} // namespace

RequestsStage::RequestsStage(const KernelSettings &settings)
    : m_context(settings)
    , m_locator(m_context)
    , m_owner(m_context)
    , m_dispatcher(m_context, m_owner)
    , m_home(m_context, m_locator, m_dispatcher)
    , m_entry(m_context, m_locator, m_home, m_dispatcher)
{ }

void RequestsStage::handle(const Event &event, TimePoint now, Output &output)
{
    m_context.now = now;
    m_context.output = &output;
    std::visit([this](const auto &alternative) { on(alternative); }, event);
    deliverReplies();
    if (m_context.draining)
        checkDrained();
}

void RequestsStage::deliverReplies()
{
    while (!m_context.replies.empty()) {
        const LocalReply reply = std::move(m_context.replies.front());
        m_context.replies.pop_front();
        std::visit(
            [this](const auto &any) {
                deliver(any);
                m_context.bodies.release(any.answer.body, *m_context.output);
            },
            reply);
    }
}

void RequestsStage::deliver(const OwnerReply &reply)
{
    m_dispatcher.replied(reply.attempt, reply.answer);
}

void RequestsStage::deliver(const OperationResult &done)
{
    if (done.requester == Requester::Entry)
        m_entry.operationFinished(done.operation, done.answer);
    else
        m_home.operationFinished(done.operation, done.answer);
}

void RequestsStage::deliver(const HomeReply &reply)
{
    m_entry.homeReplied(reply.request, reply.answer);
}

void RequestsStage::on(const event::Tick &)
{
    // In order from owner to entry, so that a request that expires in a queue is answered as not
    // run instead of with an unknown outcome.
    m_owner.tick();
    deliverReplies();
    m_home.tick();
    deliverReplies();
    m_dispatcher.tick();
    deliverReplies();
    m_entry.tick();
    deliverReplies();
    publishLoad();
    publishLate();
}

void RequestsStage::on(const event::PeerMessage &message)
{
    std::visit([&](const auto &alternative) { received(message.from, alternative); },
               message.message);
}

void RequestsStage::received(const DaemonIdentity &from, const message::Dispatch &dispatch)
{
    m_context.bodies.retain(dispatch.bodyKey);
    m_owner.dispatched(from, dispatch);
    m_context.bodies.release(dispatch.bodyKey, *m_context.output);
}

void RequestsStage::received(const DaemonIdentity &, const message::DispatchReply &reply)
{
    m_context.bodies.retain(reply.answer.body);
    m_dispatcher.replied(reply.attempt, reply.answer);
    deliverReplies();
    m_context.bodies.release(reply.answer.body, *m_context.output);
}

void RequestsStage::received(const DaemonIdentity &from, const message::Forward &forward)
{
    m_context.bodies.retain(forward.bodyKey);
    m_home.forwarded(from, forward);
    m_context.bodies.release(forward.bodyKey, *m_context.output);
}

void RequestsStage::received(const DaemonIdentity &, const message::ForwardReply &reply)
{
    m_context.bodies.retain(reply.answer.body);
    m_entry.forwardReplied(reply);
    m_context.bodies.release(reply.answer.body, *m_context.output);
}

void RequestsStage::on(const event::EndpointReply &reply)
{
    m_context.bodies.retain(reply.body);
    m_owner.endpointReplied(reply);
    deliverReplies();
    m_context.bodies.release(reply.body, *m_context.output);
}

void RequestsStage::on(const event::WorkerReport &report)
{
    m_owner.endpoints().report(report);
    m_owner.startQueued();
}

void RequestsStage::on(const event::WorkerUnreachable &worker)
{
    m_owner.endpoints().unreachable(worker.worker);
}

void RequestsStage::on(const event::PartitionAcquired &partition)
{
    m_owner.endpoints().acquired(partition);
    m_home.acquired(partition);
}

void RequestsStage::on(const event::PartitionLost &partition)
{
    m_owner.partitionLost(partition.partition);
    m_home.lost(partition.partition);
}

void RequestsStage::on(const event::ValidityChanged &validity)
{
    m_context.validUntil = validity.validUntil;
    m_context.storeReachable = validity.storeReachable;
}

void RequestsStage::on(const event::PeerStatus &status)
{
    m_dispatcher.peerStatus(status);
    m_entry.peerStatus(status);
}

void RequestsStage::on(const event::JournalResult &result)
{
    if (result.stage == "requests")
        m_home.journalResult(result);
}

void RequestsStage::on(const event::ConfigurationInForce &inForce)
{
    if (inForce.configuration)
        m_context.configure(*inForce.configuration);
}

void RequestsStage::publishLoad()
{
    if (m_context.now < m_loadPublishedAt + loadPublishInterval)
        return;
    LoadSummary load = m_owner.load();
    if (load.freeSlots == m_publishedLoad.freeSlots && load.waiting == m_publishedLoad.waiting)
        return;
    m_publishedLoad = load;
    m_loadPublishedAt = m_context.now;
    m_context.output->raise(event::LoadChanged{ "requests", std::move(load) });
}

void RequestsStage::publishLate()
{
    if (m_context.now < m_latePublishedAt + latePublishInterval)
        return;
    m_latePublishedAt = m_context.now;
    auto items = m_owner.lateItems();
    const bool any = !items.empty();
    if (any || m_hadLateItems)
        m_context.output->raise(event::LateWorkChanged{ "requests", std::move(items) });
    m_hadLateItems = any;
}

void RequestsStage::checkDrained()
{
    if (m_drainReported || !m_entry.idle() || !m_dispatcher.idle() || !m_home.idle()
        || !m_owner.idle())
        return;
    m_drainReported = true;
    m_context.output->raise(event::StageDrained{ "requests" });
}

} // namespace cowsliprock::requests
