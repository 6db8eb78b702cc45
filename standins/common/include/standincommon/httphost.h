#pragma once

#include <base/error.h>
#include <standincommon/elasticpool.h>

#include <httplib.h>

#include <string>
#include <thread>
#include <vector>

namespace cowsliprock::standin {

struct HostPort
{
    std::string host;
    int port = 0;
};

/// Parses "host:port".
[[nodiscard]] Result<HostPort> parseHostPort(const std::string &text);

/// HTTP server with its own listening thread.
class HttpHost
{
public:
    /// The pool must outlive the host.
    explicit HttpHost(ElasticThreadPool &pool);
    ~HttpHost();
    HttpHost(const HttpHost &) = delete;
    HttpHost &operator=(const HttpHost &) = delete;

    /// Gives access to the server for configuration before start().
    [[nodiscard]] httplib::Server &server() noexcept { return m_server; }

    /// Routes requests of every method and path to \p handler, with complete bodies.
    void setHandler(const httplib::Server::Handler &handler);

    /// Returns the bound port. Port 0 selects a free port.
    [[nodiscard]] Result<int> bind(const std::string &host, int port);

    /// Starts to accept requests. Requires a successful bind().
    void start();

    /// Stops accepting requests and waits for those in progress.
    void stop();

private:
    httplib::Server m_server;
    int m_listeningSocket = -1;
    std::thread m_thread;
};

/// Blocks SIGTERM and SIGINT for this thread and the threads that it starts. Must be called before
/// any other thread is started.
void blockStopSignals();

/// Waits for SIGTERM or SIGINT.
void waitForStopSignal();

} // namespace cowsliprock::standin
