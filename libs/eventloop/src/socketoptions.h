#pragma once

#include <eventloop/asio.h>

#include <chrono>

namespace cowsliprock {

/// Unacknowledged bytes end a connection after this time, so that a silent peer is noticed.
constexpr std::chrono::milliseconds unacknowledgedTimeout{ 2000 };

/// Sets the options that every connection of the system has.
void configureSocket(boost::asio::ip::tcp::socket &socket) noexcept;

} // namespace cowsliprock
