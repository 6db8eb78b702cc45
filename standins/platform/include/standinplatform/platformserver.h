#pragma once

#include <base/error.h>
#include <kernel/model.h>
#include <standincommon/httphost.h>
#include <standinplatform/callstatistics.h>
#include <standinplatform/faultplan.h>
#include <standinplatform/keyvaluestore.h>
#include <standinplatform/vmlist.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace cowsliprock::standin {

struct PlatformOptions
{
    std::string host = "127.0.0.1";
    int port = 0;             ///< 0 selects a free port.
    std::size_t threads = 64; ///< Each open connection occupies one, as does each pending watch.
    std::chrono::milliseconds vmListDelay{ 0 };
    std::vector<VmEntry> vms;
};

/// Serves the store and the VM list of the platform over HTTP (docs/api.md, section 3).
///
/// The fault "outage" affects only the store. The VM list has a separate fault, vmListOutage.
class PlatformServer
{
public:
    explicit PlatformServer(const PlatformOptions &options);
    ~PlatformServer();
    PlatformServer(const PlatformServer &) = delete;
    PlatformServer &operator=(const PlatformServer &) = delete;

    [[nodiscard]] Result<int> listen();
    void stop();

private:
    void handle(const httplib::Request &request, httplib::Response &response);
    void handleStore(const httplib::Request &request, httplib::Response &response);
    void handleVms(const httplib::Request &request, httplib::Response &response);
    void handleFaults(const httplib::Request &request, httplib::Response &response);
    void get(const httplib::Request &request, httplib::Response &response);
    void put(const httplib::Request &request, httplib::Response &response);
    void list(const httplib::Request &request, httplib::Response &response);
    void watch(const httplib::Request &request, httplib::Response &response);

    PlatformOptions m_options;
    KeyValueStore m_store;
    DelayedVmList m_vms;
    CallStatistics m_statistics;
    FaultPlan m_faults;
    std::atomic<bool> m_stopping{ false };
    ElasticThreadPool m_pool;
    HttpHost m_host;
};

} // namespace cowsliprock::standin
