#pragma once

#include <chrono>

namespace cowsliprock::cell {

/// Maximum time for which a relaying daemon holds the answer to a batch.
constexpr std::chrono::milliseconds relayHoldTime{ 250 };

} // namespace cowsliprock::cell
