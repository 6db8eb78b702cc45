#pragma once

#include <string>

namespace cowsliprock {

/// Body of a request or a response, stored outside the kernel.
struct Body
{
    std::string contentType;
    std::string bytes;
};

} // namespace cowsliprock
