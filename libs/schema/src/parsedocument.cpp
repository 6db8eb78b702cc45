#include <schema/documentcheck.h>

#include <nlohmann/json.hpp>

#include <set>
#include <stdexcept>

namespace cowsliprock {

namespace {

using nlohmann::json;

/// Parser callback that enforces the nesting limit and unique member names.
class ParseLimiter
{
public:
    explicit ParseLimiter(int maxDepth)
        : m_maxDepth(maxDepth)
    { }

    bool operator()(int depth, json::parse_event_t event, const json &parsed)
    {
        if (depth > m_maxDepth)
            throw std::length_error("nested deeper than " + std::to_string(m_maxDepth) + " levels");
        if (event == json::parse_event_t::object_start)
            m_names.emplace_back();
        if (event == json::parse_event_t::object_end)
            m_names.pop_back();
        if (event == json::parse_event_t::key) {
            const auto &name = parsed.get_ref<const std::string &>();
            if (!m_names.back().insert(name).second)
                throw std::invalid_argument("member '" + name
                                            + "' is repeated in one object; names must be unique");
        }
        return true;
    }

private:
    int m_maxDepth;
    std::vector<std::set<std::string>> m_names;
};

} // namespace

std::vector<DocumentError> parseDocument(std::string_view text, const DocumentLimits &limits,
                                         nlohmann::json &target)
{
    if (text.size() > limits.bytes)
        return { { "",
                   std::to_string(text.size()) + " bytes; at most " + std::to_string(limits.bytes)
                       + " bytes are valid" } };
    try {
        target = json::parse(text,
                             [limiter = ParseLimiter(limits.depth)](
                                 int depth, json::parse_event_t event, json &parsed) mutable {
                                 return limiter(depth, event, parsed);
                             });
        return {};
    } catch (const std::exception &exception) {
        return { { "", std::string("not a valid JSON document: ") + exception.what() } };
    }
}

std::string joinErrors(const std::vector<DocumentError> &errors)
{
    std::string text;
    for (const auto &[path, message] : errors) {
        if (!text.empty())
            text += '\n';
        text += (path.empty() ? "/" : path) + ": " + message;
    }
    return text;
}

} // namespace cowsliprock
