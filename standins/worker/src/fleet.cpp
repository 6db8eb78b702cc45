#include <standinworker/fleet.h>

#include "workerhandler.h"

#include <kernel/serialization.h>

namespace cowsliprock::standin {

Fleet::Fleet(const FleetOptions &options)
    : m_options(options)
    , m_pool(options.threads)
{ }

Fleet::~Fleet()
{
    stop();
}

Result<void> Fleet::listen()
{
    for (std::size_t index = 0; index < m_options.count; ++index) {
        Member member;
        member.host = std::make_unique<HttpHost>(m_pool);
        Member &added = m_members.emplace_back(std::move(member));
        added.host->setHandler(
            [this, index](const httplib::Request &request, httplib::Response &response) {
                handle(*m_members[index].worker, request, response);
            });
    }
    for (std::size_t index = 0; index < m_options.count; ++index) {
        // The worker address contains the bound port, so bind() precedes the creation of the
        // worker, which in turn precedes the first request.
        WorkerProperties properties = m_options.properties;
        properties.name = WorkerName(m_options.namePrefix + std::to_string(index));
        const int requestedPort =
            m_options.firstPort == 0 ? 0 : m_options.firstPort + static_cast<int>(index);
        HttpHost &host = *m_members[index].host;
        const auto port = host.bind(m_options.host, requestedPort);
        if (!port)
            return port.error();
        properties.address = m_options.host + ":" + std::to_string(port.value());
        m_members[index].worker = std::make_unique<Worker>(std::move(properties));
        host.start();
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void Fleet::stop()
{
    for (Member &member : m_members)
        member.host->stop();
}

std::vector<VmEntry> Fleet::vms() const
{
    std::vector<VmEntry> entries;
    for (std::size_t index = 0; index < m_members.size(); ++index) {
        const WorkerProperties &properties = m_members[index].worker->properties();
        const std::string rack =
            m_options.dataCentre + "-rack-" + std::to_string(index / m_options.rackSize);
        entries.push_back({ properties.name.value(),
                            "worker",
                            properties.address,
                            { m_options.region, m_options.dataCentre, rack },
                            false });
    }
    return entries;
}

Result<void> Fleet::registerWith(const std::string &platform) const
{
    const auto address = parseHostPort(platform);
    if (!address)
        return address.error();
    httplib::Client client(address.value().host, address.value().port);
    client.set_tcp_nodelay(true);
    client.set_keep_alive(true);
    for (const VmEntry &entry : vms()) {
        const auto reply = client.Post("/v1/vms", encodeVm(entry), "application/json");
        if (!reply || reply->status != 200)
            return Error{ ErrorKind::Unavailable, "vms.register", platform, entry.name };
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void Fleet::handle(Worker &worker, const httplib::Request &request, httplib::Response &response)
{
    if (request.path == "/v1/observations" && request.get_param_value("scope") == "process")
        response.set_content(processObservations(), "application/json");
    else
        WorkerHandler(worker).handle(request, response);
}

std::string Fleet::processObservations()
{
    std::vector<Worker *> workers;
    for (const Member &member : m_members)
        workers.push_back(member.worker.get());
    return observationsToJson(workers);
}

} // namespace cowsliprock::standin
