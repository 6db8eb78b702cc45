#pragma once

#include <chrono>

namespace cowsliprock::cell {

/// A daemon that relays calls answers a batch after this time at the latest.
constexpr std::chrono::milliseconds relayHoldTime{ 250 };

} // namespace cowsliprock::cell
