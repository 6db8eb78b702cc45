#include <base/readjson.h>

#include "cbordepth.h"

#include <string_view>

namespace cowsliprock {

namespace {

/// True if arrays and objects are nested more than maxJsonDepth levels deep in \p text. The result
/// is of no meaning if \p text is not JSON.
bool nestedTooDeeply(std::string_view text) noexcept
{
    std::size_t depth = 0;
    bool inString = false;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const char character = text[index];
        if (inString) {
            if (character == '\\')
                ++index;
            else if (character == '"')
                inString = false;
        } else if (character == '"') {
            inString = true;
        } else if (character == '[' || character == '{') {
            if (++depth > maxJsonDepth)
                return true;
        } else if ((character == ']' || character == '}') && depth > 0) {
            --depth;
        }
    }
    return false;
}

Json discarded()
{
    return Json(Json::value_t::discarded);
}

} // namespace

Json parseJson(const std::string &text)
{
    return nestedTooDeeply(text) ? discarded() : Json::parse(text, nullptr, false);
}

Json parseCbor(const std::string &bytes)
{
    return cborWithinDepth(bytes, maxJsonDepth) ? Json::from_cbor(bytes, true, false) : discarded();
}

} // namespace cowsliprock
