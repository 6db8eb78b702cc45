#include <standincell/world.h>

#include "ports.h"

#include <memory>
#include <utility>

namespace cowsliprock::standincell {

using namespace cell;

void World::submit(std::uint32_t node, const std::string &id, const JobPlan &jobPlan,
                   std::optional<SubmitResult> *result)
{
    auto &slot = *m_nodes.at(node);
    if (!slot.node || !slot.node->ready())
        return;
    m_jobs[id] = jobPlan;
    const auto *queue = slot.node->configuration()->findQueue(jobPlan.queue);
    m_guarantees.submitted(id, jobPlan.spec, maxAttempts);
    m_guarantees.belongsTo(id, jobPlan.customer);
    if (jobPlan.deadly)
        m_guarantees.deadly(id);
    slot.node->submit(id, Caller{ jobPlan.customer }, *queue, jobPlan.spec,
                      m_time.now() + std::chrono::milliseconds(2500),
                      [this, id, result](SubmitResult answer) {
                          if (result != nullptr)
                              *result = answer;
                          if (answer == SubmitResult::Accepted)
                              m_guarantees.accepted(id);
                          if (answer == SubmitResult::NotStored || answer == SubmitResult::Excess)
                              m_guarantees.refused(id);
                      });
}

std::optional<HttpServerResponse> World::request(std::uint32_t node, const HttpRequest &request)
{
    auto &slot = *m_nodes.at(node);
    auto answer = std::make_shared<std::optional<HttpServerResponse>>();
    if (slot.ingress) {
        slot.ingress->handleClient(
            request, [answer](HttpServerResponse response) { *answer = std::move(response); });
    }
    run(std::chrono::milliseconds(800));
    return *answer;
}

std::chrono::seconds World::retryAfter(std::uint32_t node) const
{
    return m_nodes.at(node)->node->retryAfter();
}

void World::cancel(std::uint32_t node, const std::string &id, std::optional<CancelResult> *result)
{
    auto &slot = *m_nodes.at(node);
    if (!slot.node)
        return;
    m_guarantees.cancelRequested(id);
    slot.node->cancel(id, m_time.now() + std::chrono::milliseconds(2500),
                      [this, id, result](CancelResult answer) {
                          if (result != nullptr)
                              *result = answer;
                          if (answer != CancelResult::Unavailable)
                              m_guarantees.cancelled(id);
                      });
}

std::optional<JobStatus> World::status(std::uint32_t node, const std::string &id)
{
    auto &slot = *m_nodes.at(node);
    if (!slot.node)
        return std::nullopt;
    auto answer = std::make_shared<std::optional<JobStatus>>();
    slot.node->status(id, [this, id, answer](const StatusAnswer &reply) {
        *answer = reply.status;
        if (reply.status)
            m_guarantees.statusReported(id, *reply.status);
    });
    run(std::chrono::milliseconds(800));
    return *answer;
}

PeerAnswer World::callPeer(std::uint32_t node, const std::string &path, const std::string &body)
{
    auto answer = std::make_shared<PeerAnswer>();
    m_nodes.at(node)->node->peerCall("POST", path, body,
                                     [answer](const PeerAnswer &given) { *answer = given; });
    run(std::chrono::milliseconds(600));
    return *answer;
}

} // namespace cowsliprock::standincell
