#include "socketoptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cowsliprock {

void configureSocket(boost::asio::ip::tcp::socket &socket) noexcept
{
    const int noDelay = 1;
    const auto timeout = static_cast<unsigned>(unacknowledgedTimeout.count());
    const int handle = socket.native_handle();
    // Errors are ignored: the system defaults work too, but are slower.
    static_cast<void>(setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay)));
    static_cast<void>(setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout)));
}

} // namespace cowsliprock
