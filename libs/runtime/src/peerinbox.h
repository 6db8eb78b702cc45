#pragma once

#include "bodystore.h"
#include "kernelloop.h"

#include <kernel/serialization.h>

namespace cowsliprock {

/// Stores the body of a received message and hands the rest to the kernel. Returns false when the
/// kernel's ring is full: the message is dropped with its body, and its sender times out.
[[nodiscard]] bool receiveMessage(Envelope envelope, BodyStore &bodies, KernelLoop &kernel);

} // namespace cowsliprock
