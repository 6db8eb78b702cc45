#include <experiment/faultproxy.h>

#include <eventloop/asio.h>
#include <eventloop/eventloop.h>
#include <eventloop/listen.h>

#include <boost/asio/write.hpp>

#include <array>
#include <utility>
#include <vector>

namespace cowsliprock::experiment {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t bufferBytes = 16UL * 1024UL;

std::size_t indexOf(Direction direction) noexcept
{
    return direction == Direction::ToServer ? 0 : 1;
}

tcp::endpoint toEndpoint(const SocketAddress &address)
{
    return { asio::ip::make_address_v4(address.ip), address.port };
}

SocketAddress toAddress(const tcp::endpoint &endpoint)
{
    return { endpoint.address().to_string(), endpoint.port() };
}

} // namespace

struct FaultProxy::State
{
    State(EventLoop &eventLoop, SocketAddress targetAddress)
        : loop(eventLoop)
        , target(std::move(targetAddress))
        , acceptor(eventLoop.context())
    { }

    EventLoop &loop;
    SocketAddress target;
    tcp::acceptor acceptor;
    std::vector<std::weak_ptr<Link>> links;
    std::vector<std::shared_ptr<Link>> heldLinks;
    Duration delay{};
    std::array<bool, 2> dropping{};
    HoldRule isHeld; ///< Null if no connections are held.
    std::array<std::uint64_t, 2> bytes{};
    std::uint64_t connections = 0;

    static void acceptNext(const std::shared_ptr<State> &state);
};

/// One forwarded connection.
class FaultProxy::Link : public std::enable_shared_from_this<Link>
{
public:
    Link(std::shared_ptr<State> proxy, tcp::socket client)
        : m_proxy(std::move(proxy))
        , m_sides{ std::move(client), tcp::socket(m_proxy->loop.context()) }
    { }

    void start()
    {
        hold();
        if (m_held)
            return;
        m_connected = true;
        m_sides[1].async_connect(
            toEndpoint(m_proxy->target),
            [self = shared_from_this()](const boost::system::error_code &error) {
                if (error) {
                    self->close();
                    return;
                }
                boost::system::error_code ignored;
                self->m_sides[0].set_option(tcp::no_delay(true), ignored);
                self->m_sides[1].set_option(tcp::no_delay(true), ignored);
                self->read(Direction::ToServer);
                self->read(Direction::ToClient);
            });
    }

    void silence() noexcept { m_silent = true; }

    /// Holds this connection if the rule of the proxy selects it.
    void hold()
    {
        boost::system::error_code error;
        const auto client = m_sides[0].remote_endpoint(error);
        if (error)
            return;
        const auto proxy = m_sides[0].local_endpoint(error);
        m_held = !error && m_proxy->isHeld && m_proxy->isHeld(toAddress(client), toAddress(proxy));
    }

    [[nodiscard]] bool isHeld() const noexcept { return m_held; }

    void release()
    {
        if (!std::exchange(m_held, false))
            return;
        if (!m_connected) {
            reset();
            return;
        }
        for (const auto direction : { Direction::ToServer, Direction::ToClient }) {
            if (const auto size = std::exchange(m_heldBytes[indexOf(direction)], 0); size > 0)
                forward(direction, size);
        }
        if (m_ended)
            close();
    }

    void reset()
    {
        for (auto &side : m_sides) {
            boost::system::error_code ignored;
            side.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        close();
    }

private:
    void close()
    {
        for (auto &side : m_sides) {
            boost::system::error_code ignored;
            side.close(ignored);
        }
    }

    /// The end of a connection is not seen by its other side while the connection is held.
    void handleEnd()
    {
        if (m_held)
            m_ended = true;
        else
            close();
    }

    void read(Direction direction)
    {
        auto &buffer = m_buffers[indexOf(direction)];
        auto &from = m_sides[indexOf(direction)];
        from.async_read_some(asio::buffer(buffer),
                             [self = shared_from_this(),
                              direction](const boost::system::error_code &error, std::size_t size) {
                                 if (error)
                                     self->handleEnd();
                                 else
                                     self->forward(direction, size);
                             });
    }

    void forward(Direction direction, std::size_t size)
    {
        if (m_held) {
            m_heldBytes[indexOf(direction)] = size;
            return;
        }
        if (m_silent || m_proxy->dropping[indexOf(direction)]) {
            read(direction);
            return;
        }
        m_proxy->bytes[indexOf(direction)] += size;
        if (m_proxy->delay > Duration::zero())
            m_proxy->loop.after(m_proxy->delay, [self = shared_from_this(), direction, size] {
                self->write(direction, size);
            });
        else
            write(direction, size);
    }

    void write(Direction direction, std::size_t size)
    {
        auto &to = m_sides[1 - indexOf(direction)];
        asio::async_write(to, asio::buffer(m_buffers[indexOf(direction)], size),
                          [self = shared_from_this(), direction](
                              const boost::system::error_code &error, std::size_t /*bytes*/) {
                              if (error)
                                  self->close();
                              else
                                  self->read(direction);
                          });
    }

    std::shared_ptr<State> m_proxy;
    std::array<tcp::socket, 2> m_sides; ///< Client and server.
    std::array<std::array<char, bufferBytes>, 2> m_buffers{};
    std::array<std::size_t, 2> m_heldBytes{}; ///< Bytes of the buffers to forward on release.
    bool m_connected = false;                 ///< A connection to the server was begun.
    bool m_held = false;
    bool m_ended = false; ///< A side closed the connection while it was held.
    bool m_silent = false;
};

void FaultProxy::State::acceptNext(const std::shared_ptr<State> &state)
{
    state->acceptor.async_accept(
        [state](const boost::system::error_code &error, tcp::socket socket) {
            if (error == asio::error::operation_aborted || !state->acceptor.is_open())
                return;
            if (!error) {
                ++state->connections;
                auto link = std::make_shared<Link>(state, std::move(socket));
                std::erase_if(state->links, [](const auto &one) { return one.expired(); });
                state->links.push_back(link);
                link->start();
                // No pending operation keeps a held link alive.
                if (link->isHeld())
                    state->heldLinks.push_back(std::move(link));
            }
            acceptNext(state);
        });
}

FaultProxy::FaultProxy(EventLoop &loop, SocketAddress target)
    : m_state(std::make_shared<State>(loop, std::move(target)))
{ }

FaultProxy::~FaultProxy()
{
    m_state->heldLinks.clear();
    boost::system::error_code ignored;
    m_state->acceptor.close(ignored);
}

Result<SocketAddress> FaultProxy::listen(const SocketAddress &address)
{
    auto bound = listenOn(m_state->acceptor, address, "proxy.listen");
    if (bound.has_value())
        State::acceptNext(m_state);
    return bound;
}

void FaultProxy::setDelay(Duration delay) noexcept
{
    m_state->delay = delay;
}

void FaultProxy::setDropping(Direction direction, bool dropping) noexcept
{
    m_state->dropping[indexOf(direction)] = dropping;
}

void FaultProxy::resetConnections()
{
    for (const auto &link : std::exchange(m_state->links, {})) {
        if (const auto open = link.lock())
            open->reset();
    }
}

void FaultProxy::silenceConnections()
{
    for (const auto &link : m_state->links) {
        if (const auto open = link.lock())
            open->silence();
    }
}

void FaultProxy::holdConnections(HoldRule rule)
{
    m_state->isHeld = std::move(rule);
    for (const auto &link : m_state->links) {
        if (const auto open = link.lock()) {
            open->hold();
            m_state->heldLinks.push_back(open);
        }
    }
}

void FaultProxy::releaseConnections()
{
    m_state->isHeld = nullptr;
    for (const auto &link : std::exchange(m_state->heldLinks, {}))
        link->release();
}

std::uint64_t FaultProxy::bytes(Direction direction) const noexcept
{
    return m_state->bytes[indexOf(direction)];
}

std::uint64_t FaultProxy::connections() const noexcept
{
    return m_state->connections;
}

} // namespace cowsliprock::experiment
