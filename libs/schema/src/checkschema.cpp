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

/// Translates valijson errors: contexts to JSON Pointers, descriptions to what would be valid.
class ErrorTranslator
{
public:
    ErrorTranslator(const json &document, const json &schema)
        : m_document(document)
        , m_schema(schema)
    { }

    void add(const valijson::ValidationResults::Error &error)
    {
        const json::json_pointer path = toPointer(error.context);
        const std::string &text = error.description;
        // Repeats the error on the enclosing levels.
        if (text.starts_with("Failed to validate against schema associated with")
            || text.starts_with("Failed to validate item #"))
            return;
        if (text.starts_with("Missing required property")) {
            const std::string member = quotedName(text);
            addError(path / member,
                     "missing; must be " + describeConstraint(schemaAt(path / member)));
        } else if (text.starts_with("Object contains a property")) {
            addUnknownMembers(path);
        } else {
            addError(path,
                     "must be " + describeConstraint(schemaAt(path)) + "; is "
                         + displayedValue(path));
        }
    }

    [[nodiscard]] std::vector<DocumentError> takeSorted()
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
    [[nodiscard]] json::json_pointer toPointer(const std::vector<std::string> &context) const
    {
        json::json_pointer result;
        const json *node = &m_document;
        // The first element is the root; the others have the form "[name]".
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

    [[nodiscard]] static std::string quotedName(const std::string &text)
    {
        const auto first = text.find('\'');
        const auto last = text.rfind('\'');
        return first < last ? text.substr(first + 1, last - first - 1) : std::string();
    }

    [[nodiscard]] const json &resolveReference(const json &node) const
    {
        if (const auto reference = node.find("$ref"); reference != node.end())
            return m_schema.at(
                json::json_pointer(reference->get_ref<const std::string &>().substr(1)));
        return node;
    }

    /// Returns the subschema for a path, or an empty object if the schema does not constrain it.
    [[nodiscard]] const json &schemaAt(const json::json_pointer &path) const
    {
        static const json unconstrained = json::object();
        if (path.empty())
            return m_schema;
        const json &parent = schemaAt(path.parent_pointer());
        if (const auto items = parent.find("items"); items != parent.end())
            return resolveReference(*items);
        if (const auto members = parent.find("properties"); members != parent.end()) {
            if (const auto member = members->find(path.back()); member != members->end())
                return resolveReference(*member);
        }
        return unconstrained;
    }

    [[nodiscard]] static std::string describeConstraint(const json &schema)
    {
        if (const auto alternatives = schema.find("enum"); alternatives != schema.end()) {
            std::string text = "one of";
            for (const json &alternative : *alternatives)
                text += (text == "one of" ? " " : ", ") + alternative.dump();
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
        std::string validNames;
        for (const auto &[name, member] : members.items())
            validNames += (validNames.empty() ? "" : ", ") + name;
        for (const auto &[name, member] : m_document.at(path).items()) {
            if (!members.contains(name))
                addError(path / name, "unknown member; valid members are: " + validNames);
        }
    }

    [[nodiscard]] std::string displayedValue(const json::json_pointer &path) const
    {
        const json &value = m_document.at(path);
        std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
        constexpr std::size_t maxDisplayLength = 60;
        if (text.size() > maxDisplayLength)
            text = std::string("a longer ") + value.type_name();
        return text;
    }

    void addError(const json::json_pointer &path, std::string message)
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
    ErrorTranslator translator(document, schemaDocument);
    for (const auto &error : results)
        translator.add(error);
    auto errors = translator.takeSorted();
    if (errors.empty())
        errors.push_back({ "", "does not match the schema" });
    return errors;
}

} // namespace cowsliprock
