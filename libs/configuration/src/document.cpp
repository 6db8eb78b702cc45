#include <configuration/document.h>

#include "configurationschema.h"
#include "documentmodel.h"
#include "semanticcheck.h"

#include <kernel/serialization.h>

#include <nlohmann/json.hpp>

namespace cowsliprock {

namespace {

using nlohmann::json;

constexpr const char *jobPrefix = "/jobs/0";

/// Makes the error paths of a document with a single job relative to that job.
[[nodiscard]] std::vector<DocumentError> withoutPrefix(std::vector<DocumentError> errors)
{
    for (auto &error : errors) {
        if (error.path.starts_with(jobPrefix))
            error.path.erase(0, std::string_view(jobPrefix).size());
    }
    return errors;
}

} // namespace

std::vector<DocumentError> checkConfiguration(const nlohmann::json &document,
                                              const ConfigurationContext &context)
{
    // The semantic checks rely on the types guaranteed by the schema.
    if (auto errors = checkSchema(document, configurationSchema()); !errors.empty())
        return errors;
    return checkSemantics(toConfiguration(document), context);
}

std::variant<Configuration, std::vector<DocumentError>>
parseConfiguration(std::string_view text, const ConfigurationContext &context)
{
    json document;
    if (auto errors = parseDocument(text, configurationLimits, document); !errors.empty())
        return errors;
    if (auto errors = checkConfiguration(document, context); !errors.empty())
        return errors;
    return toConfiguration(document);
}

std::variant<std::string, std::vector<DocumentError>> parseSubmittedJob(std::string_view text)
{
    json job;
    if (auto errors = parseDocument(text, configurationLimits, job); !errors.empty())
        return errors;
    json document = { { "jobs", json::array({ std::move(job) }) } };
    if (auto errors = checkSchema(document, configurationSchema()); !errors.empty())
        return withoutPrefix(std::move(errors));
    AcceptedJob accepted;
    accepted.definition = toConfiguration(document).jobs.front();
    if (auto errors = checkJobFields(accepted.definition, ""); !errors.empty())
        return errors;
    return json::parse(encodeJob(accepted)).at("definition").dump();
}

} // namespace cowsliprock
