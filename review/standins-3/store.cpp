#include "modes.h"

#include <standincell/storemodel.h>
#include <standincellhttp/storeserver.h>

#include <eventloop/eventloop.h>
#include <eventloop/http.h>

#include <iostream>

namespace review {

/// The project's own stand-in of the platform's store: store ADDRESS DELAY_MS
int runStore(const std::vector<std::string> &arguments)
{
    cowsliprock::EventLoop loop;
    cowsliprock::standincell::StoreModel model(loop);
    cowsliprock::standincell::StoreServer server(loop, model, 1);
    server.delay(std::chrono::milliseconds(std::stoi(arguments.at(1))));
    const auto bound = server.listen(cowsliprock::parseSocketAddress(arguments.at(0)));
    if (!bound.has_value()) {
        std::cerr << bound.error().text() << '\n';
        return 2;
    }
    loop.run();
    return 0;
}

} // namespace review
