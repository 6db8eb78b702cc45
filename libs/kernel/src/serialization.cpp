#include <kernel/serialization.h>

#include "jsonvariant.h"

namespace cowsliprock {

namespace {

using nlohmann::json;

[[nodiscard]] Error invalid(const char *step, std::string detail)
{
    return { ErrorKind::Invalid, step, {}, std::move(detail) };
}

} // namespace

std::string encodeMessage(const Envelope &envelope)
{
    const json document = { { "version", protocolVersion },
                            { "from", envelope.from },
                            { "kind", alternativeName(envelope.message) },
                            { "data", alternativeToJson(envelope.message) } };
    std::string bytes;
    json::to_msgpack(document, bytes);
    return bytes;
}

Result<Envelope> decodeMessage(std::string_view bytes)
{
    constexpr const char *step = "peer.decode";
    try {
        const json document = json::from_msgpack(bytes.begin(), bytes.end());
        if (const int version = document.at("version").get<int>(); version != protocolVersion)
            return invalid(step, "unsupported protocol version " + std::to_string(version));
        return Envelope{ document.at("from").get<DaemonIdentity>(),
                         alternativeFromJson<Message>(document.at("kind").get<std::string>(),
                                                      document.at("data")) };
    } catch (const std::exception &exception) {
        return invalid(step, exception.what());
    }
}

std::string encodeTraceLine(const TraceLine &line)
{
    const json document = { { "at", line.at },
                            { "event", alternativeName(line.event) },
                            { "data", alternativeToJson(line.event) } };
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<TraceLine> decodeTraceLine(std::string_view text)
{
    try {
        const json document = json::parse(text);
        return TraceLine{ document.at("at").get<TimePoint>(),
                          alternativeFromJson<Event>(document.at("event").get<std::string>(),
                                                     document.at("data")) };
    } catch (const std::exception &exception) {
        return invalid("trace.decode", exception.what());
    }
}

std::string encodeSettings(const KernelSettings &settings)
{
    return json({ { "settings", settings } }).dump();
}

Result<KernelSettings> decodeSettings(std::string_view text)
{
    try {
        return json::parse(text).at("settings").get<KernelSettings>();
    } catch (const std::exception &exception) {
        return invalid("trace.settings", exception.what());
    }
}

std::string describeEffect(const Effect &effect)
{
    const json document = { { "effect", alternativeName(effect) },
                            { "data", alternativeToJson(effect) } };
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string encodeJob(const AcceptedJob &job)
{
    return json(job).dump();
}

Result<AcceptedJob> decodeJob(std::string_view text)
{
    try {
        return json::parse(text).get<AcceptedJob>();
    } catch (const std::exception &exception) {
        return invalid("job.decode", exception.what());
    }
}

} // namespace cowsliprock
