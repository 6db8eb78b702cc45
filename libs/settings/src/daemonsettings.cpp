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

/// Longest deadline that a request may have; a drain has to outlast it.
constexpr milliseconds longestDeadline{ 25'000 };

struct TimeMember
{
    const char *name;
    Duration KernelSettings::*member;
};

constexpr std::array timeMembers{
    TimeMember{ "renewIntervalMs", &KernelSettings::renewInterval },
    TimeMember{ "leaseTimeMs", &KernelSettings::leaseTime },
    TimeMember{ "leaseMarginMs", &KernelSettings::leaseMargin },
    TimeMember{ "quarantineMs", &KernelSettings::quarantine },
    TimeMember{ "maxOutageExtensionMs", &KernelSettings::maxOutageExtension },
    TimeMember{ "journalIntervalMs", &KernelSettings::journalInterval },
    TimeMember{ "identityRetentionMs", &KernelSettings::identityRetention },
    TimeMember{ "heartbeatIntervalMs", &KernelSettings::heartbeatInterval },
    TimeMember{ "farHeartbeatIntervalMs", &KernelSettings::farHeartbeatInterval },
    TimeMember{ "peerTimeoutMs", &KernelSettings::peerTimeout },
    TimeMember{ "pollIntervalMs", &KernelSettings::pollInterval },
    TimeMember{ "taskLeaseMs", &KernelSettings::taskLease },
    TimeMember{ "reservationTimeMs", &KernelSettings::reservationTime },
    TimeMember{ "drainLimitMs", &KernelSettings::drainLimit },
};

template <typename T>
void take(const json &document, const char *name, T &target)
{
    if (const auto member = document.find(name); member != document.end())
        target = member->get<T>();
}

template <typename T>
void takeWord(const json &document, const char *name, std::initializer_list<const char *> words,
              T &target)
{
    const std::string word = document.value(name, "");
    int index = 0;
    for (const char *candidate : words) {
        if (word == candidate)
            target = static_cast<T>(index);
        ++index;
    }
}

void takeDaemons(const json &document, DaemonSettings &settings)
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

[[nodiscard]] DaemonSettings toSettings(const json &document)
{
    DaemonSettings settings;
    KernelSettings &kernel = settings.kernel;
    takeDaemons(document, settings);
    kernel.randomSeed = document.value("randomSeed", std::uint64_t{ 0 });
    take(document, "placementPolicies", kernel.placementPolicies);
    take(document, "partitionsPerDataCentre", kernel.partitionsPerDataCentre);
    take(document, "answerCacheEntries", kernel.answerCacheEntries);
    for (const auto &[name, member] : timeMembers) {
        if (document.contains(name))
            kernel.*member = milliseconds(document.at(name).get<std::int64_t>());
    }
    take(document, "storeAddress", settings.storeAddress);
    take(document, "httpThreads", settings.httpThreads);
    take(document, "endpointCallThreads", settings.endpointCallThreads);
    take(document, "workerCallThreads", settings.workerCallThreads);
    take(document, "kernelRingEntries", settings.rings.kernel);
    take(document, "storeRingEntries", settings.rings.store);
    take(document, "peerRingEntries", settings.rings.peer);
    take(document, "workerRingEntries", settings.rings.worker);
    take(document, "endpointRingEntries", settings.rings.endpoint);
    take(document, "bodyLimitBytes", settings.bodyLimitBytes);
    take(document, "headerLimitBytes", settings.headerLimitBytes);
    take(document, "headerLimitCount", settings.headerLimitCount);
    if (document.contains("readTimeoutMs"))
        settings.readTimeout = milliseconds(document.at("readTimeoutMs").get<std::int64_t>());
    takeWord(document, "logFormat", { "text", "json" }, settings.logFormat);
    takeWord(document, "logLevel", { "trace", "debug", "info", "warn", "error", "off" },
             settings.logLevel);
    take(document, "traceFile", settings.traceFile);
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
            errors.push_back({ path + "/name", "used twice; names of daemons must be unique" });
        for (const char *member : { "httpAddress", "peerAddress" }) {
            if (!addresses.insert(entry.at(member)).second)
                errors.push_back({ path + "/" + member, "used twice; addresses must be unique" });
        }
    }
    if (!names.contains(document.at("name"))) {
        std::string known;
        for (const auto &name : names)
            known += (known.empty() ? "" : ", ") + name;
        errors.push_back({ "/name", "not in daemons; must be one of " + known });
    }
    return errors;
}

[[nodiscard]] std::vector<DocumentError> checkTimes(const KernelSettings &kernel)
{
    std::vector<DocumentError> errors;
    if (2 * kernel.renewInterval + kernel.leaseMargin > kernel.leaseTime)
        errors.push_back(
            { "/renewIntervalMs", "two renewals and leaseMarginMs must fit into leaseTimeMs" });
    if (kernel.quarantine < kernel.leaseMargin)
        errors.push_back({ "/quarantineMs", "must be at least leaseMarginMs" });
    if (kernel.drainLimit <= longestDeadline)
        errors.push_back({ "/drainLimitMs", "must be more than 25000, the longest deadline" });
    if (kernel.taskLease < 2 * kernel.pollInterval)
        errors.push_back({ "/taskLeaseMs", "must be at least twice pollIntervalMs" });
    return errors;
}

[[nodiscard]] Error invalid(const std::vector<DocumentError> &errors)
{
    return { ErrorKind::Invalid, "settings", {}, joinErrors(errors) };
}

} // namespace

Result<DaemonSettings> parseDaemonSettings(std::string_view text,
                                           const std::vector<std::string> &overrides)
{
    json document;
    if (const auto errors = parseDocument(text, {}, document); !errors.empty())
        return invalid(errors);
    auto errors = applyOverrides(document, overrides);
    for (auto &error : checkSchema(document, settingsSchema()))
        errors.push_back(std::move(error));
    if (!errors.empty())
        return invalid(errors);
    errors = checkDaemons(document);
    auto settings = toSettings(document);
    for (auto &error : checkTimes(settings.kernel))
        errors.push_back(std::move(error));
    if (!errors.empty())
        return invalid(errors);
    return settings;
}

Result<DaemonSettings> loadDaemonSettings(const std::string &path,
                                          const std::vector<std::string> &overrides)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return Error{ ErrorKind::NotFound, "settings", path, "the file cannot be read" };
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
