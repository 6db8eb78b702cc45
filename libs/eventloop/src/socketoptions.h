#pragma once

#include <eventloop/asio.h>

#include <chrono>

namespace cowsliprock {

/// A connection is closed when sent data stays unacknowledged for this long, which detects a dead
/// peer.
constexpr std::chrono::milliseconds unacknowledgedTimeout{ 2000 };

/// Sets the options common to all connections.
void configureSocket(boost::asio::ip::tcp::socket &socket) noexcept;

} // namespace cowsliprock
