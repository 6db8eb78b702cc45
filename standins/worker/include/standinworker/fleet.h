#pragma once

#include <base/error.h>
#include <kernel/model.h>
#include <standincommon/elasticpool.h>
#include <standincommon/httphost.h>
#include <standinworker/worker.h>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace cowsliprock::standin {

struct FleetOptions
{
    std::string host = "127.0.0.1";
    int firstPort = 0; ///< Worker i listens on firstPort + i; 0 chooses free ports.
    std::size_t count = 1;
    std::string namePrefix = "worker-";
    std::string region = "region";
    std::string dataCentre = "data-centre";
    std::size_t rackSize = 8;
    std::size_t threads = 512;   ///< Maximum number of open connections across all workers.
    WorkerProperties properties; ///< Name and address are set per worker.
};

/// Runs many workers in one process. Each worker listens on its own port; all share one thread
/// pool (docs/api.md, section 4).
class Fleet
{
public:
    explicit Fleet(const FleetOptions &options);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    [[nodiscard]] Result<void> listen();
    void stop();

    /// Returns the VM entries of the workers. Requires a successful listen().
    [[nodiscard]] std::vector<VmEntry> vms() const;
    [[nodiscard]] Worker &worker(std::size_t index) { return *m_members.at(index).worker; }

    /// Registers all VMs with the platform at "host:port".
    [[nodiscard]] Result<void> registerWith(const std::string &platform) const;

private:
    struct Member
    {
        std::unique_ptr<HttpHost> host;
        std::unique_ptr<Worker> worker;
    };

    void handle(Worker &worker, const httplib::Request &request, httplib::Response &response);
    [[nodiscard]] std::string processObservations();

    FleetOptions m_options;
    ElasticThreadPool m_pool;
    std::vector<Member> m_members;
};

} // namespace cowsliprock::standin
