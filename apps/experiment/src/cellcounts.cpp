#include "cellparts.h"

namespace cowsliprock::experiment {

namespace {

std::uint64_t bytesOf(const FaultProxy &proxy)
{
    return proxy.bytes(Direction::ToServer) + proxy.bytes(Direction::ToClient);
}

using Counts = std::map<std::string, std::uint64_t>;

void add(Counts &sum, const Counts &more)
{
    for (const auto &[kind, count] : more)
        sum[kind] += count;
}

} // namespace

std::map<std::string, std::uint64_t> Cell::storeCalls() const
{
    Counts result;
    for (const auto &daemon : m_daemons)
        add(result, daemon->store->calls());
    return result;
}

std::map<std::string, std::uint64_t> Cell::workerCalls() const
{
    Counts result;
    for (const auto &worker : m_workers)
        add(result, worker->server->calls());
    return result;
}

std::uint64_t Cell::adviceCalls() const
{
    std::uint64_t result = 0;
    for (const auto &daemon : m_daemons)
        result += daemon->advice->calls();
    return result;
}

std::uint64_t Cell::workerConnections() const
{
    std::uint64_t result = 0;
    for (const auto &worker : m_workers)
        result += worker->proxy->connections();
    return result;
}

std::uint64_t Cell::storeBytes() const
{
    std::uint64_t result = 0;
    for (const auto &daemon : m_daemons)
        result += bytesOf(*daemon->storeProxy);
    return result;
}

std::uint64_t Cell::workerBytes() const
{
    std::uint64_t result = 0;
    for (const auto &worker : m_workers)
        result += bytesOf(*worker->proxy);
    return result;
}

ProcessUsage Cell::usage() const
{
    ProcessUsage result;
    for (const auto &daemon : m_daemons)
        result += daemon->process->usage();
    return result;
}

} // namespace cowsliprock::experiment
