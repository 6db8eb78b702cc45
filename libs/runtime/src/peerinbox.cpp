#include "peerinbox.h"

#include "messagebody.h"

namespace cowsliprock {

bool receiveMessage(Envelope envelope, BodyStore &bodies, KernelLoop &kernel)
{
    const BodyKey key = bodyKeyOf(envelope.message);
    Body body = takeBody(envelope.message);
    if (!key.empty())
        bodies.put(key, std::move(body));
    if (kernel.tryPost(event::PeerMessage{ envelope.from, std::move(envelope.message) }))
        return true;
    // The kernel did not receive the message, so it would never remove the body.
    bodies.remove(key);
    return false;
}

} // namespace cowsliprock
