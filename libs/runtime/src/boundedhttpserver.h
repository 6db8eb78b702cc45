#pragma once

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <cstddef>

namespace cowsliprock {

/// Limits of a server on what its clients may cost it. cpp-httplib has none for the length of a
/// line, the number of headers, a chunked body, or a client that sends single bytes.
struct BoundedHttpLimits
{
    std::size_t headerBytes = 32UL * 1024UL;
    std::size_t headerLines = 512;
    std::size_t messageBytes = 4UL * 1024UL * 1024UL; ///< Header section, body and framing.
    std::size_t totalBytes = 64UL * 1024UL * 1024UL;  ///< Of all connections.
    std::size_t queuedConnections = 1024;             ///< Waiting for a thread.
    std::chrono::milliseconds readTimeout{ 5000 };    ///< Between two received bytes.
    std::chrono::milliseconds headerTimeout{ 5000 };
    std::chrono::milliseconds messageTimeout{ 10000 };
    std::chrono::milliseconds writeTimeout{ 10000 }; ///< Of a whole response.
};

/// Server of cpp-httplib whose requests are read through a bounded stream. A connection that
/// exceeds a limit is closed, or answered 400 by the library; its request has not run.
class BoundedHttpServer : public httplib::Server
{
public:
    BoundedHttpServer();

    /// Both must be called before the server listens.
    void setLimits(const BoundedHttpLimits &limits) { m_limits = limits; }
    void setThreads(std::size_t threads);

private:
    bool process_and_close_socket(socket_t socket) override;
    [[nodiscard]] bool processRequests(socket_t socket);

    BoundedHttpLimits m_limits;
    std::atomic<std::size_t> m_bytes{ 0 };  ///< Held by all connections.
    std::atomic<std::size_t> m_queued{ 0 }; ///< Connections that wait for a thread.
};

} // namespace cowsliprock
