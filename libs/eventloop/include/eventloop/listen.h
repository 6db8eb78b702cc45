#pragma once

#include <eventloop/asio.h>
#include <eventloop/http.h>

#include <base/error.h>

namespace cowsliprock {

/// Binds \p acceptor and lets it listen. Port 0 takes any free port; the result is the address that
/// was taken. \p step names the caller in an error.
[[nodiscard]] Result<SocketAddress> listenOn(boost::asio::ip::tcp::acceptor &acceptor,
                                             const SocketAddress &address, const char *step);

} // namespace cowsliprock
