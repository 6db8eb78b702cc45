#pragma once

#include "bodystore.h"
#include "kernelloop.h"

#include <kernel/serialization.h>

namespace cowsliprock {

/// Stores the body of a received message and posts the rest to the kernel. Returns false if the
/// kernel's ring is full; the message and its body are then dropped, and the sender times out.
[[nodiscard]] bool receiveMessage(Envelope envelope, BodyStore &bodies, KernelLoop &kernel);

} // namespace cowsliprock
