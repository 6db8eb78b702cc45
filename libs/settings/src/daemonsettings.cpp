#include <settings/daemonsettings.h>

#include "overrides.h"
#include "settingsschema.h"

#include <schema/documentcheck.h>

#include <nlohmann/json.hpp>

#include <array>
#include <fstream>
#include <iterator>
#include <set>

namespace cowsliprock {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// Maximum deadline of a request. The drain limit must exceed it so that requests can finish.
constexpr milliseconds maxDeadline{ 25'000 };

struct DurationMember
{
    const char *name;
    Duration KernelSettings::*member;
};

constexpr std::array durationMembers{
    DurationMember{ "renewIntervalMs", &KernelSettings::renewInterval },
    DurationMember{ "leaseTimeMs", &KernelSettings::leaseTime },
    DurationMember{ "leaseMarginMs", &KernelSettings::leaseMargin },
    DurationMember{ "quarantineMs", &KernelSettings::quarantine },
    DurationMember{ "maxOutageExtensionMs", &KernelSettings::maxOutageExtension },
    DurationMember{ "journalIntervalMs", &KernelSettings::journalInterval },
    DurationMember{ "identityRetentionMs", &KernelSettings::identityRetention },
    DurationMember{ "heartbeatIntervalMs", &KernelSettings::heartbeatInterval },
    DurationMember{ "farHeartbeatIntervalMs", &KernelSettings::farHeartbeatInterval },
    DurationMember{ "peerTimeoutMs", &KernelSettings::peerTimeout },
    DurationMember{ "pollIntervalMs", &KernelSettings::pollInterval },
    DurationMember{ "taskLeaseMs", &KernelSettings::taskLease },
    DurationMember{ "reservationTimeMs", &KernelSettings::reservationTime },
    DurationMember{ "drainLimitMs", &KernelSettings::drainLimit },
};

template <typename T>
void readMember(const json &document, const char *name, T &target)
{
    if (const auto member = document.find(name); member != document.end())
        target = member->get<T>();
}

template <typename T>
void readEnum(const json &document, const char *name,
              std::initializer_list<const char *> enumerators, T &target)
{
    const std::string enumerator = document.value(name, "");
    int index = 0;
    for (const char *candidate : enumerators) {
        if (enumerator == candidate)
            target = static_cast<T>(index);
        ++index;
    }
}

void readDaemons(const json &document, DaemonSettings &settings)
{
    KernelSettings &kernel = settings.kernel;
    kernel.self.name = DaemonName(document.at("name").get<std::string>());
    for (const json &entry : document.at("daemons")) {
        const DaemonName name(entry.at("name").get<std::string>());
        const Location location{ entry.at("region"), entry.at("dataCentre"),
                                 entry.value("rack", "") };
        if (name == kernel.self.name) {
            kernel.location = location;
            settings.httpAddress = entry.at("httpAddress");
            settings.peerAddress = entry.at("peerAddress");
        } else {
            kernel.peers.push_back({ name, location, entry.at("peerAddress") });
        }
    }
    kernel.httpAddress = settings.httpAddress;
    kernel.peerAddress = settings.peerAddress;
}

[[nodiscard]] DaemonSettings settingsFrom(const json &document)
{
    DaemonSettings settings;
    KernelSettings &kernel = settings.kernel;
    readDaemons(document, settings);
    kernel.randomSeed = document.value("randomSeed", std::uint64_t{ 0 });
    readMember(document, "placementPolicies", kernel.placementPolicies);
    readMember(document, "partitionsPerDataCentre", kernel.partitionsPerDataCentre);
    readMember(document, "answerCacheEntries", kernel.answerCacheEntries);
    for (const auto &[name, member] : durationMembers) {
        if (document.contains(name))
            kernel.*member = milliseconds(document.at(name).get<std::int64_t>());
    }
    readMember(document, "storeAddress", settings.storeAddress);
    readMember(document, "httpThreads", settings.httpThreads);
    readMember(document, "endpointCallThreads", settings.endpointCallThreads);
    readMember(document, "workerCallThreads", settings.workerCallThreads);
    readMember(document, "kernelRingEntries", settings.rings.kernel);
    readMember(document, "storeRingEntries", settings.rings.store);
    readMember(document, "peerRingEntries", settings.rings.peer);
    readMember(document, "workerRingEntries", settings.rings.worker);
    readMember(document, "endpointRingEntries", settings.rings.endpoint);
    readMember(document, "bodyLimitBytes", settings.bodyLimitBytes);
    readMember(document, "headerLimitBytes", settings.headerLimitBytes);
    readMember(document, "headerLimitCount", settings.headerLimitCount);
    if (document.contains("readTimeoutMs"))
        settings.readTimeout = milliseconds(document.at("readTimeoutMs").get<std::int64_t>());
    readEnum(document, "logFormat", { "text", "json" }, settings.logFormat);
    readEnum(document, "logLevel", { "trace", "debug", "info", "warn", "error", "off" },
             settings.logLevel);
    readMember(document, "traceFile", settings.traceFile);
    return settings;
}

[[nodiscard]] std::vector<DocumentError> checkDaemons(const json &document)
{
    std::vector<DocumentError> errors;
    std::set<std::string> names;
    std::set<std::string> addresses;
    std::size_t index = 0;
    for (const json &entry : document.at("daemons")) {
        const std::string path = "/daemons/" + std::to_string(index++);
        if (!names.insert(entry.at("name")).second)
            errors.push_back({ path + "/name", "duplicate; daemon names must be unique" });
        for (const char *member : { "httpAddress", "peerAddress" }) {
            if (!addresses.insert(entry.at(member)).second)
                errors.push_back({ path + "/" + member, "duplicate; addresses must be unique" });
        }
    }
    if (!names.contains(document.at("name"))) {
        std::string knownNames;
        for (const auto &name : names)
            knownNames += (knownNames.empty() ? "" : ", ") + name;
        errors.push_back({ "/name", "not in daemons; must be one of " + knownNames });
    }
    return errors;
}

[[nodiscard]] std::vector<DocumentError> checkDurations(const KernelSettings &kernel)
{
    std::vector<DocumentError> errors;
    if (2 * kernel.renewInterval + kernel.leaseMargin > kernel.leaseTime)
        errors.push_back({ "/renewIntervalMs",
                           "twice this interval plus leaseMarginMs must not exceed leaseTimeMs" });
    if (kernel.quarantine < kernel.leaseMargin)
        errors.push_back({ "/quarantineMs", "must be at least leaseMarginMs" });
    if (kernel.drainLimit <= maxDeadline)
        errors.push_back(
            { "/drainLimitMs", "must be greater than 25000, the maximum request deadline" });
    if (kernel.taskLease < 2 * kernel.pollInterval)
        errors.push_back({ "/taskLeaseMs", "must be at least twice pollIntervalMs" });
    return errors;
}

[[nodiscard]] Error invalidSettings(const std::vector<DocumentError> &errors)
{
    return { ErrorKind::Invalid, "settings", {}, joinErrors(errors) };
}

} // namespace

Result<DaemonSettings> parseDaemonSettings(std::string_view text,
                                           const std::vector<std::string> &overrides)
{
    json document;
    if (const auto errors = parseDocument(text, {}, document); !errors.empty())
        return invalidSettings(errors);
    auto errors = applyOverrides(document, overrides);
    for (auto &error : checkSchema(document, settingsSchema()))
        errors.push_back(std::move(error));
    if (!errors.empty())
        return invalidSettings(errors);
    errors = checkDaemons(document);
    auto settings = settingsFrom(document);
    for (auto &error : checkDurations(settings.kernel))
        errors.push_back(std::move(error));
    if (!errors.empty())
        return invalidSettings(errors);
    return settings;
}

Result<DaemonSettings> loadDaemonSettings(const std::string &path,
                                          const std::vector<std::string> &overrides)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return Error{ ErrorKind::NotFound, "settings", path, "cannot open settings file" };
    const std::string text{ std::istreambuf_iterator<char>(file), {} };
    auto settings = parseDaemonSettings(text, overrides);
    if (!settings) {
        Error error = settings.error();
        error.peer = path;
        return error;
    }
    return settings;
}

} // namespace cowsliprock
