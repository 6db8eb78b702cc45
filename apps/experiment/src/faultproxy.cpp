#include <experiment/faultproxy.h>

#include <eventloop/eventloop.h>

// Boost 1.74's Asio needs <utility> before it in C++20.
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <functional>
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

class Link;

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
    Duration delay{};
    std::array<bool, 2> cut{};
    std::array<std::uint64_t, 2> bytes{};
    std::uint64_t connections = 0;
};

namespace {

/// One forwarded connection.
class Link : public std::enable_shared_from_this<Link>
{
public:
    /// What a link needs of its proxy.
    struct Proxy
    {
        std::function<bool(Direction)> isCut;
        std::function<void(Direction, std::size_t)> count;
        std::function<Duration()> delay;
        EventLoop &loop;
    };

    Link(Proxy proxy, tcp::socket client)
        : m_proxy(std::move(proxy))
        , m_sides{ std::move(client), tcp::socket(m_proxy.loop.context()) }
    { }

    void start(const tcp::endpoint &target)
    {
        m_sides[1].async_connect(
            target, [self = shared_from_this()](const boost::system::error_code &error) {
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

    void read(Direction direction)
    {
        auto &buffer = m_buffers[indexOf(direction)];
        auto &from = m_sides[indexOf(direction)];
        from.async_read_some(asio::buffer(buffer),
                             [self = shared_from_this(),
                              direction](const boost::system::error_code &error, std::size_t size) {
                                 if (error)
                                     self->close();
                                 else
                                     self->forward(direction, size);
                             });
    }

    void forward(Direction direction, std::size_t size)
    {
        if (m_silent || m_proxy.isCut(direction)) {
            read(direction);
            return;
        }
        m_proxy.count(direction, size);
        if (const auto delay = m_proxy.delay(); delay > Duration::zero())
            m_proxy.loop.after(delay, [self = shared_from_this(), direction, size] {
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

    Proxy m_proxy;
    std::array<tcp::socket, 2> m_sides; ///< Client and server.
    std::array<std::array<char, bufferBytes>, 2> m_buffers{};
    bool m_silent = false;
};

template <typename State>
void acceptNext(const std::shared_ptr<State> &state)
{
    state->acceptor.async_accept(
        [state](const boost::system::error_code &error, tcp::socket socket) {
            if (error == asio::error::operation_aborted || !state->acceptor.is_open())
                return;
            if (!error) {
                ++state->connections;
                const Link::Proxy proxy{ [state](Direction direction) {
                                            return state->cut[indexOf(direction)];
                                        },
                                         [state](Direction direction, std::size_t size) {
                                             state->bytes[indexOf(direction)] += size;
                                         },
                                         [state] { return state->delay; }, state->loop };
                auto link = std::make_shared<Link>(proxy, std::move(socket));
                std::erase_if(state->links, [](const auto &one) { return one.expired(); });
                state->links.push_back(link);
                link->start(toEndpoint(state->target));
            }
            acceptNext(state);
        });
}

} // namespace

FaultProxy::FaultProxy(EventLoop &loop, SocketAddress target)
    : m_state(std::make_shared<State>(loop, std::move(target)))
{ }

FaultProxy::~FaultProxy()
{
    boost::system::error_code ignored;
    m_state->acceptor.close(ignored);
}

Result<SocketAddress> FaultProxy::listen(const SocketAddress &address)
{
    try {
        auto &acceptor = m_state->acceptor;
        const auto endpoint = toEndpoint(address);
        acceptor.open(endpoint.protocol());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen(asio::socket_base::max_listen_connections);
        acceptNext(m_state);
        const auto bound = acceptor.local_endpoint();
        return SocketAddress{ bound.address().to_string(), bound.port() };
    } catch (const boost::system::system_error &error) {
        return Error{ ErrorKind::Unavailable, "proxy.listen", address.text(), error.what() };
    }
}

void FaultProxy::delay(Duration delay) noexcept
{
    m_state->delay = delay;
}

void FaultProxy::cut(Direction direction, bool isCut) noexcept
{
    m_state->cut[indexOf(direction)] = isCut;
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

std::uint64_t FaultProxy::bytes(Direction direction) const noexcept
{
    return m_state->bytes[indexOf(direction)];
}

std::uint64_t FaultProxy::connections() const noexcept
{
    return m_state->connections;
}

} // namespace cowsliprock::experiment
