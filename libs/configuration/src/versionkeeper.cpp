#include "versionkeeper.h"

#include "documentmodel.h"
#include "documentpatch.h"

#include <algorithm>
#include <iterator>

namespace cowsliprock {

namespace {

constexpr std::size_t maxRetainedChanges = 256;
/// Memory limit for retained changes; the memory budget of the whole daemon is 128 MB.
constexpr std::size_t maxRetainedBytes = 4'194'304;

} // namespace

VersionKeeper::Outcome VersionKeeper::replace(ConfigurationRecord next)
{
    try {
        Configuration configuration = toConfiguration(next.document);
        configuration.version = next.version;
        m_inForce = std::make_shared<const Configuration>(std::move(configuration));
    } catch (const nlohmann::json::exception &) {
        return Outcome::Unreadable;
    }
    m_record = std::move(next);
    return Outcome::Adopted;
}

VersionKeeper::Outcome VersionKeeper::adopt(ConfigurationRecord next)
{
    if (next.version <= m_record.version)
        return Outcome::Older;
    // Peers that hold the previous version only need the difference.
    ChangeRecord change{ next.version, m_record.version, next.row, true, next.digest, {}, {} };
    std::copy_if(next.history.begin(), next.history.end(), std::back_inserter(change.writes),
                 [&](const AcceptedWrite &entry) { return entry.version > m_record.version; });
    if (m_record.version > 0)
        change.patch = makePatch(m_record.document, next.document);
    const Outcome outcome = replace(std::move(next));
    if (outcome == Outcome::Adopted)
        retainChange(std::move(change));
    return outcome;
}

VersionKeeper::Outcome VersionKeeper::adopt(const ChangeRecord &change)
{
    if (change.version <= m_record.version)
        return Outcome::Older;
    if (change.from != m_record.version || !change.patch.is_array())
        return Outcome::Gap;
    ConfigurationRecord next{ change.version, change.row, change.digest, m_record.history, {} };
    for (const AcceptedWrite &write : change.writes)
        appendWrite(next.history, write);
    try {
        next.document = m_record.document.patch(change.patch);
    } catch (const nlohmann::json::exception &) {
        return Outcome::Mismatch;
    }
    if (!next.document.is_object() || documentDigest(next.document) != change.digest)
        return Outcome::Mismatch;
    const Outcome outcome = replace(std::move(next));
    if (outcome == Outcome::Adopted)
        retainChange(change);
    return outcome;
}

VersionKeeper::Outcome VersionKeeper::adopt(const message::ConfigurationPush &push)
{
    if (push.toVersion <= m_record.version)
        return Outcome::Older;
    if (push.fromVersion == 0) {
        auto next = push.patches.empty() ? decodeConfigurationRecord("")
                                         : decodeConfigurationRecord(push.patches.front());
        return next ? adopt(std::move(next.value())) : Outcome::Mismatch;
    }
    Outcome outcome = Outcome::Older;
    for (const std::string &text : push.patches) {
        const auto change = decodeChange(text);
        if (!change)
            return Outcome::Mismatch;
        const Outcome step = adopt(change.value());
        if (step != Outcome::Older && step != Outcome::Adopted)
            return step;
        if (step == Outcome::Adopted)
            outcome = step;
    }
    return outcome;
}

void VersionKeeper::retainChange(ChangeRecord change)
{
    change.accepted = true;
    RetainedChange retained{ change.from, change.version, encodeChange(change) };
    if (!change.patch.is_array() || retained.text.size() > maxPatchBytes) {
        // Earlier changes are unusable without this one in the chain.
        m_changes.clear();
        m_changeBytes = 0;
        return;
    }
    m_changeBytes += retained.text.size();
    m_changes.push_back(std::move(retained));
    while (m_changes.size() > maxRetainedChanges || m_changeBytes > maxRetainedBytes) {
        m_changeBytes -= m_changes.front().text.size();
        m_changes.pop_front();
    }
}

message::ConfigurationPush VersionKeeper::pushSince(std::uint64_t haveVersion) const
{
    const auto first =
        std::find_if(m_changes.begin(), m_changes.end(),
                     [&](const RetainedChange &retained) { return retained.from == haveVersion; });
    message::ConfigurationPush push{ haveVersion, m_record.version, {} };
    std::size_t bytes = 0;
    for (auto next = first; next != m_changes.end(); ++next) {
        bytes += next->text.size();
        push.patches.push_back(next->text);
    }
    if (haveVersion == 0 || first == m_changes.end() || bytes > maxPatchBytes)
        return { 0, m_record.version, { encodeConfigurationRecord(m_record) } };
    return push;
}

message::ConfigurationPush VersionKeeper::newestChange() const
{
    if (m_changes.empty())
        return { m_record.version, m_record.version, {} };
    const RetainedChange &newest = m_changes.back();
    return { newest.from, newest.version, { newest.text } };
}

} // namespace cowsliprock
