#pragma once

#include <eventloop/asio.h>
#include <eventloop/http.h>

#include <base/error.h>

namespace cowsliprock {

/// Binds \p acceptor and starts listening. Port 0 selects a free port. Returns the bound address.
/// \p step identifies the caller in an error.
[[nodiscard]] Result<SocketAddress> listenOn(boost::asio::ip::tcp::acceptor &acceptor,
                                             const SocketAddress &address, const char *step);

} // namespace cowsliprock
