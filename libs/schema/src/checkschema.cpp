#include <schema/documentcheck.h>

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <algorithm>

namespace cowsliprock {

namespace {

using nlohmann::json;
using valijson::adapters::NlohmannJsonAdapter;

/// Rewrites valijson's path and text of an error: JSON Pointer, and what would be valid.
class ErrorWriter
{
public:
    ErrorWriter(const json &document, const json &schema)
        : m_document(document)
        , m_schema(schema)
    { }

    void add(const valijson::ValidationResults::Error &error)
    {
        const json::json_pointer path = pointer(error.context);
        const std::string &text = error.description;
        // Follow-up errors of the levels above the fault.
        if (text.starts_with("Failed to validate against schema associated with")
            || text.starts_with("Failed to validate item #"))
            return;
        if (text.starts_with("Missing required property")) {
            const std::string member = quotedWord(text);
            append(path / member, "missing; must be " + expectation(schemaAt(path / member)));
        } else if (text.starts_with("Object contains a property")) {
            addUnknownMembers(path);
        } else {
            append(path, "must be " + expectation(schemaAt(path)) + "; is " + shown(path));
        }
    }

    [[nodiscard]] std::vector<DocumentError> take()
    {
        const auto key = [](const DocumentError &error) {
            return std::tie(error.path, error.message);
        };
        std::sort(m_errors.begin(), m_errors.end(),
                  [&](const auto &left, const auto &right) { return key(left) < key(right); });
        m_errors.erase(std::unique(m_errors.begin(), m_errors.end()), m_errors.end());
        return std::move(m_errors);
    }

private:
    [[nodiscard]] json::json_pointer pointer(const std::vector<std::string> &context) const
    {
        json::json_pointer result;
        const json *node = &m_document;
        // The first part names the root; the others have the form "[name]".
        for (std::size_t index = 1; index < context.size(); ++index) {
            const std::string name = context[index].substr(1, context[index].size() - 2);
            if (node->is_array())
                result /= static_cast<std::size_t>(std::stoul(name));
            else
                result /= name;
            node = &m_document.at(result);
        }
        return result;
    }

    [[nodiscard]] static std::string quotedWord(const std::string &text)
    {
        const auto first = text.find('\'');
        const auto last = text.rfind('\'');
        return first < last ? text.substr(first + 1, last - first - 1) : std::string();
    }

    [[nodiscard]] const json &resolved(const json &node) const
    {
        if (const auto reference = node.find("$ref"); reference != node.end())
            return m_schema.at(
                json::json_pointer(reference->get_ref<const std::string &>().substr(1)));
        return node;
    }

    /// Part of the schema that describes a place; null where the schema says nothing.
    [[nodiscard]] const json &schemaAt(const json::json_pointer &path) const
    {
        static const json nothing = json::object();
        if (path.empty())
            return m_schema;
        const json &parent = schemaAt(path.parent_pointer());
        if (const auto items = parent.find("items"); items != parent.end())
            return resolved(*items);
        if (const auto members = parent.find("properties"); members != parent.end()) {
            if (const auto member = members->find(path.back()); member != members->end())
                return resolved(*member);
        }
        return nothing;
    }

    [[nodiscard]] static std::string expectation(const json &schema)
    {
        if (const auto words = schema.find("enum"); words != schema.end()) {
            std::string text = "one of";
            for (const json &word : *words)
                text += (text == "one of" ? " " : ", ") + word.dump();
            return text;
        }
        std::string text = schema.value("type", "valid");
        if (schema.contains("minimum"))
            text += " from " + schema["minimum"].dump();
        if (schema.contains("maximum"))
            text += " to " + schema["maximum"].dump();
        if (schema.contains("maxLength"))
            text += " of at most " + schema["maxLength"].dump() + " characters";
        if (schema.contains("maxItems"))
            text += " of at most " + schema["maxItems"].dump() + " items";
        if (schema.contains("description"))
            text += " (" + schema["description"].get<std::string>() + ")";
        return text;
    }

    void addUnknownMembers(const json::json_pointer &path)
    {
        const json &schema = schemaAt(path);
        const json members = schema.value("properties", json::object());
        std::string known;
        for (const auto &[name, member] : members.items())
            known += (known.empty() ? "" : ", ") + name;
        for (const auto &[name, member] : m_document.at(path).items()) {
            if (!members.contains(name))
                append(path / name, "unknown member; valid members are: " + known);
        }
    }

    [[nodiscard]] std::string shown(const json::json_pointer &path) const
    {
        const json &value = m_document.at(path);
        std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
        constexpr std::size_t shownLength = 60;
        if (text.size() > shownLength)
            text = std::string("a longer ") + value.type_name();
        return text;
    }

    void append(const json::json_pointer &path, std::string message)
    {
        m_errors.push_back({ path.to_string(), std::move(message) });
    }

    const json &m_document;
    const json &m_schema;
    std::vector<DocumentError> m_errors;
};

} // namespace

std::vector<DocumentError> checkSchema(const nlohmann::json &document, std::string_view schemaText)
{
    const json schemaDocument = json::parse(schemaText);
    valijson::Schema schema;
    valijson::SchemaParser parser;
    parser.populateSchema(NlohmannJsonAdapter(schemaDocument), schema);

    valijson::Validator validator(valijson::Validator::kStrongTypes);
    valijson::ValidationResults results;
    if (validator.validate(schema, NlohmannJsonAdapter(document), &results))
        return {};
    ErrorWriter writer(document, schemaDocument);
    for (const auto &error : results)
        writer.add(error);
    auto errors = writer.take();
    if (errors.empty())
        errors.push_back({ "", "does not match the schema" });
    return errors;
}

} // namespace cowsliprock
