#include <standincell/world.h>

#include "ports.h"

#include <ingress.h>

#include <memory>
#include <utility>

namespace cowsliprock::standincell {

HttpServerResponse World::callClient(std::uint32_t node, const HttpRequest &request)
{
    auto &slot = *m_nodes.at(node);
    const auto ingress =
        std::make_shared<platform::Ingress>(*slot.node, *slot.timers, slot.metrics);
    auto response = std::make_shared<HttpServerResponse>();
    response->status = 0;
    // The node may respond after the wait, through members of the ingress.
    ingress->handleClient(
        request, [response, ingress](HttpServerResponse given) { *response = std::move(given); });
    run(std::chrono::milliseconds(600));
    return *response;
}

} // namespace cowsliprock::standincell
