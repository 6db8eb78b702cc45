#include <standincommon/httphost.h>

#include <base/parsenumber.h>

#include <pthread.h>
#include <sys/socket.h>

#include <csignal>

namespace cowsliprock::standin {

namespace {

/// The default backlog of cpp-httplib is 5, which drops connections in a burst. A dropped
/// connection is retried only after one second.
constexpr int backlog = 1024;

[[nodiscard]] sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

Result<HostPort> parseHostPort(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    HostPort result;
    if (colon != std::string::npos && colon > 0) {
        const auto port = parseNumber<int>(std::string_view(text).substr(colon + 1));
        if (port)
            return HostPort{ text.substr(0, colon), *port };
    }
    return Error{ ErrorKind::Invalid, "address.parse", text, "host:port expected" };
}

HttpHost::HttpHost(ElasticThreadPool &pool)
{
    m_server.new_task_queue = [&pool] { return new PoolTaskQueue(pool); };
    m_server.set_tcp_nodelay(true);
    m_server.set_read_timeout(5);
    m_server.set_keep_alive_timeout(5);
    m_server.set_keep_alive_max_count(1'000'000);
    // Replaces the default option SO_REUSEPORT, which would let two processes bind the same port.
    m_server.set_socket_options([this](socket_t socket) {
        const int on = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        m_listeningSocket = socket;
    });
}

HttpHost::~HttpHost()
{
    stop();
}

void HttpHost::setHandler(const httplib::Server::Handler &handler)
{
    m_server.Get(".*", handler);
    m_server.Post(".*", handler);
    m_server.Put(".*", handler);
    m_server.Patch(".*", handler);
    m_server.Delete(".*", handler);
}

Result<int> HttpHost::bind(const std::string &host, int port)
{
    const int bound = port == 0             ? m_server.bind_to_any_port(host)
        : m_server.bind_to_port(host, port) ? port
                                            : -1;
    if (bound <= 0)
        return Error{ ErrorKind::Unavailable, "http.bind", host + ":" + std::to_string(port), {} };
    ::listen(m_listeningSocket, backlog);
    return bound;
}

void HttpHost::start()
{
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
    while (!m_server.is_running())
        std::this_thread::yield();
}

void HttpHost::stop()
{
    if (!m_thread.joinable())
        return;
    m_server.stop();
    m_thread.join();
}

void blockStopSignals()
{
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void waitForStopSignal()
{
    const sigset_t signals = stopSignals();
    int signal = 0;
    sigwait(&signals, &signal);
}

} // namespace cowsliprock::standin
