#pragma once

#include <string>
#include <vector>

namespace review {

/// Programs of this executable: arguments without the name of the program and of the mode.
int runStore(const std::vector<std::string> &arguments);
int runWorker(const std::vector<std::string> &arguments);

} // namespace review
