#include "operatorbody.h"

#include "documentmodel.h"

namespace cowsliprock {

namespace {

using nlohmann::json;

/// Allowance for the members around the document in the body of configurationApply.
constexpr std::size_t envelopeBytes = 4096;

[[nodiscard]] std::vector<DocumentError> checkSizeAndContent(const json &document,
                                                             const ConfigurationContext &context)
{
    // The limit applies to the compact form that is stored; the submitted text may differ in
    // length.
    if (const std::size_t bytes = document.dump().size(); bytes > configurationLimits.bytes)
        return { { "",
                   std::to_string(bytes) + " bytes; at most "
                       + std::to_string(configurationLimits.bytes) + " bytes are valid" } };
    return checkConfiguration(document, context);
}

} // namespace

std::vector<DocumentError> checkDocumentBody(const std::string &body,
                                             const ConfigurationContext &context)
{
    json document;
    if (auto errors = parseDocument(body, configurationLimits, document); !errors.empty())
        return errors;
    return checkSizeAndContent(document, context);
}

std::vector<DocumentError> readApplyBody(const std::string &body,
                                         const ConfigurationContext &context, ApplyRequest &request)
{
    const DocumentLimits limits{ configurationLimits.bytes + envelopeBytes,
                                 configurationLimits.depth + 1 };
    json envelope;
    if (auto errors = parseDocument(body, limits, envelope); !errors.empty())
        return errors;
    std::vector<DocumentError> errors;
    if (!envelope.is_object() || !envelope.contains("document"))
        errors.push_back({ "/document", "missing; must be the configuration document" });
    if (!envelope.is_object() || !envelope.value("baseVersion", json()).is_number_unsigned())
        errors.push_back({ "/baseVersion",
                           "missing or not an integer from 0; must be the version that was read "
                           "before the change" });
    if (!errors.empty())
        return errors;
    request.baseVersion = envelope["baseVersion"].get<std::uint64_t>();
    request.document = std::move(envelope["document"]);
    return checkSizeAndContent(request.document, context);
}

std::string encodeErrors(const std::vector<DocumentError> &errors)
{
    json list = json::array();
    for (const auto &[path, message] : errors)
        list.push_back({ { "path", path }, { "message", message } });
    return json{ { "errors", std::move(list) } }.dump(-1, ' ', false,
                                                      json::error_handler_t::replace);
}

} // namespace cowsliprock
