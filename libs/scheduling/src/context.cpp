#include "context.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace cowsliprock::scheduling {

namespace {

std::uint64_t seedOf(const KernelSettings &settings)
{
    return settings.randomSeed ^ stableHash(settings.self.text());
}

} // namespace

Context::Context(const KernelSettings &kernelSettings)
    : settings(kernelSettings)
    , random(seedOf(kernelSettings))
{ }

void Context::handle(const Event &event)
{
    if (std::holds_alternative<event::Started>(event)) {
        startedAt = now;
    } else if (const auto *validity = std::get_if<event::ValidityChanged>(&event)) {
        validUntil = validity->validUntil;
        storeReachable = validity->storeReachable;
    } else if (const auto *acquired = std::get_if<event::PartitionAcquired>(&event)) {
        owned[acquired->partition] = { acquired->epoch, acquired->usableFrom };
    } else if (const auto *lost = std::get_if<event::PartitionLost>(&event)) {
        owned.erase(lost->partition);
    } else if (const auto *changed = std::get_if<event::OwnersChanged>(&event)) {
        owners = changed->owners;
    } else if (const auto *status = std::get_if<event::PeerStatus>(&event)) {
        peers[status->peer.name] = *status;
    } else if (const auto *inForce = std::get_if<event::ConfigurationInForce>(&event)) {
        configuration = inForce->configuration;
    } else if (const auto *list = std::get_if<event::VmList>(&event)) {
        handleVmList(*list);
    } else if (std::holds_alternative<event::DrainRequested>(event)) {
        draining = true;
    }
}

void Context::handleVmList(const event::VmList &list)
{
    // An empty list indicates a platform error rather than the end of all VMs.
    if (list.entries.empty())
        return;
    vmListAt = now;
    for (const auto &[name, entry] : workerVms)
        endedWorkers.insert(name);
    workerVms.clear();
    for (const auto &entry : list.entries) {
        if (entry.role != "worker")
            continue;
        const WorkerName name(entry.name);
        workerVms[name] = entry;
        endedWorkers.erase(name);
    }
}

bool Context::usable(const PartitionId &partition) const
{
    const auto iterator = owned.find(partition);
    return iterator != owned.end() && iterator->second.usableFrom <= now;
}

std::optional<DaemonIdentity> Context::ownerOf(const PartitionId &partition) const
{
    if (owns(partition))
        return settings.self;
    const auto iterator = owners.find(partition);
    if (iterator == owners.end() || iterator->second.name == settings.self.name)
        return std::nullopt;
    return iterator->second;
}

std::optional<PartitionId> Context::partitionOfWorker(const WorkerName &worker) const
{
    const auto iterator = workerVms.find(worker);
    if (iterator == workerVms.end())
        return std::nullopt;
    return partitionOf(worker.value(), iterator->second.location.dataCentre,
                       settings.partitionsPerDataCentre);
}

bool Context::vmEnded(const WorkerName &worker, TimePoint existedAt) const
{
    return endedWorkers.contains(worker)
        || (!workerVms.contains(worker) && vmListAt > existedAt + vmListLag);
}

std::vector<std::string> Context::dataCentres(std::string_view region) const
{
    std::set<std::string> result;
    if (settings.location.region == region)
        result.insert(settings.location.dataCentre);
    for (const auto &peer : settings.peers) {
        if (peer.location.region == region)
            result.insert(peer.location.dataCentre);
    }
    return { result.begin(), result.end() };
}

std::string Context::regionOf(const DaemonName &daemon) const
{
    if (daemon == settings.self.name)
        return settings.location.region;
    const auto iterator = peers.find(daemon);
    return iterator == peers.end() ? std::string() : iterator->second.location.region;
}

std::optional<PolicyDefinition> Context::policy(const std::string &name) const
{
    if (name.empty())
        return PolicyDefinition{};
    if (!configuration)
        return std::nullopt;
    const auto &policies = configuration->policies;
    const auto iterator = std::find_if(policies.begin(), policies.end(),
                                       [&](const auto &entry) { return entry.name == name; });
    return iterator == policies.end() ? std::nullopt : std::optional(*iterator);
}

void Context::send(const DaemonName &to, Message message)
{
    if (to == settings.self.name)
        localMessages.push_back(std::move(message));
    else
        perform(effect::SendPeer{ to, std::move(message) });
}

Duration Context::randomBetween(Duration low, Duration high)
{
    const auto span = static_cast<std::uint64_t>((high - low).count()) + 1;
    return low + Duration(static_cast<Duration::rep>(random() % span));
}

AttemptId AttemptName::make(const JobId &job, std::uint32_t index, std::uint64_t epoch,
                            std::uint64_t number, const PartitionId &home)
{
    return AttemptId(job.value() + "/" + std::to_string(index) + "/" + std::to_string(epoch) + "."
                     + std::to_string(number) + "/" + home.value());
}

std::optional<AttemptName> AttemptName::parse(const AttemptId &attempt)
{
    const std::string &text = attempt.value();
    const auto first = text.find('/');
    const auto second = first == std::string::npos ? first : text.find('/', first + 1);
    const auto third = second == std::string::npos ? second : text.find('/', second + 1);
    if (third == std::string::npos)
        return std::nullopt;
    AttemptName result;
    result.job = JobId(text.substr(0, first));
    result.home = PartitionId(text.substr(third + 1));
    const char *begin = text.data() + first + 1;
    const char *end = text.data() + second;
    if (const auto [rest, error] = std::from_chars(begin, end, result.index);
        error != std::errc() || rest != end)
        return std::nullopt;
    return result;
}

} // namespace cowsliprock::scheduling
