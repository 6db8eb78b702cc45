#pragma once

#include <string>

namespace cowsliprock {

/// Body of a request or an answer, held outside the kernel.
struct Body
{
    std::string contentType;
    std::string bytes;
};

} // namespace cowsliprock
