#pragma once

#include "bodystore.h"
#include "kernelloop.h"
#include "pendingcalls.h"

#include <base/error.h>
#include <base/metrics.h>
#include <kernel/effects.h>
#include <settings/daemonsettings.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace cowsliprock {

/// The daemon's HTTP interface for callers, operators and the load balancer (docs/api.md).
class HttpService
{
public:
    struct Builder
    {
        const DaemonSettings *settings = nullptr;
        KernelLoop *kernel = nullptr;
        BodyStore *bodies = nullptr;
        Metrics *metrics = nullptr;

        /// Binds the address and starts serving.
        [[nodiscard]] Result<std::unique_ptr<HttpService>> build() const;
    };

    ~HttpService();
    HttpService(const HttpService &) = delete;
    HttpService &operator=(const HttpService &) = delete;

    /// Passes the final answer of the kernel to the waiting caller. Thread-safe.
    void answer(const effect::AnswerCaller &answer);

    /// Passes the answer of the kernel to the waiting operator. Thread-safe.
    void answer(const effect::AnswerOperator &answer);

    /// Sets the state that /readyz reports. Thread-safe.
    void setReady(bool ready, std::string reason);

private:
    struct CallerAnswer
    {
        RequestAnswer answer;
        BodyPointer body;
    };
    struct Server;

    explicit HttpService(const Builder &builder);
    void addCallerRoutes();
    void addOperatorRoutes();
    void addHealthRoutes();

    const DaemonSettings &m_settings;
    KernelLoop &m_kernel;
    BodyStore &m_bodies;
    Metrics &m_metrics;
    PendingCalls<RequestId, CallerAnswer> m_callers;
    PendingCalls<OperationId, effect::AnswerOperator> m_operators;
    std::atomic<std::uint64_t> m_sequence{ 0 };
    std::mutex m_readyMutex;
    bool m_ready = false;
    std::string m_readyReason = "starting";
    std::unique_ptr<Server> m_server;
    std::thread m_thread;
};

} // namespace cowsliprock
