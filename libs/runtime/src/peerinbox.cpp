#include "peerinbox.h"

#include "messagebody.h"

namespace cowsliprock {

bool receiveMessage(Envelope envelope, BodyStore &bodies, KernelLoop &kernel)
{
    const BodyKey key = bodyKeyOf(envelope.message);
    Body body = takeBody(envelope.message);
    if (!key.empty())
        bodies.put(key, std::move(body));
    if (kernel.offer(event::PeerMessage{ envelope.from, std::move(envelope.message) }))
        return true;
    // The kernel never learns of this body, so nothing else would release it.
    bodies.forget(key);
    return false;
}

} // namespace cowsliprock
