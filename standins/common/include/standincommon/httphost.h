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

/// An HTTP server with its listening thread.
class HttpHost
{
public:
    /// The pool must outlive the host.
    explicit HttpHost(ElasticPool &pool);
    ~HttpHost();
    HttpHost(const HttpHost &) = delete;
    HttpHost &operator=(const HttpHost &) = delete;

    /// For handlers, before start().
    [[nodiscard]] httplib::Server &server() noexcept { return m_server; }

    /// Sends all requests of every method to \p handler, which sees whole bodies.
    void serveAll(const httplib::Server::Handler &handler);

    /// Port 0 chooses a free port. Returns the port.
    [[nodiscard]] Result<int> bind(const std::string &host, int port);

    /// Serves from now on; after bind().
    void start();

    /// Waits for the requests in progress.
    void stop();

private:
    httplib::Server m_server;
    int m_listeningSocket = -1;
    std::thread m_thread;
};

/// Blocks SIGTERM and SIGINT for this thread and those that it starts; call before any other.
void blockStopSignals();

/// Waits for SIGTERM or SIGINT.
void waitForStopSignal();

} // namespace cowsliprock::standin
