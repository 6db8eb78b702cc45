#include "versionkeeper.h"

#include "documentmodel.h"
#include "documentpatch.h"

#include <algorithm>
#include <iterator>

namespace cowsliprock {

namespace {

constexpr std::size_t maxChanges = 256;
/// Bounds the memory of the changes; the daemon's whole budget is 128 MB.
constexpr std::size_t maxChangeBytes = 4'194'304;

} // namespace

VersionKeeper::Outcome VersionKeeper::replace(HeldConfiguration next)
{
    try {
        Configuration configuration = toConfiguration(next.document);
        configuration.version = next.version;
        m_inForce = std::make_shared<const Configuration>(std::move(configuration));
    } catch (const nlohmann::json::exception &) {
        return Outcome::Unreadable;
    }
    m_held = std::move(next);
    return Outcome::Adopted;
}

VersionKeeper::Outcome VersionKeeper::adopt(HeldConfiguration next)
{
    if (next.version <= m_held.version)
        return Outcome::Older;
    // Peers that hold the version before need the difference only.
    ChangeRecord change{ next.version, m_held.version, next.row, true, next.digest, {}, {} };
    std::copy_if(next.history.begin(), next.history.end(), std::back_inserter(change.writes),
                 [&](const AcceptedWrite &entry) { return entry.version > m_held.version; });
    if (m_held.version > 0)
        change.patch = makePatch(m_held.document, next.document);
    const Outcome outcome = replace(std::move(next));
    if (outcome == Outcome::Adopted)
        remember(std::move(change));
    return outcome;
}

VersionKeeper::Outcome VersionKeeper::adopt(const ChangeRecord &change)
{
    if (change.version <= m_held.version)
        return Outcome::Older;
    if (change.from != m_held.version || !change.patch.is_array())
        return Outcome::Gap;
    HeldConfiguration next{ change.version, change.row, change.digest, m_held.history, {} };
    for (const AcceptedWrite &write : change.writes)
        appendWrite(next.history, write);
    try {
        next.document = m_held.document.patch(change.patch);
    } catch (const nlohmann::json::exception &) {
        return Outcome::Mismatch;
    }
    if (!next.document.is_object() || documentDigest(next.document) != change.digest)
        return Outcome::Mismatch;
    const Outcome outcome = replace(std::move(next));
    if (outcome == Outcome::Adopted)
        remember(change);
    return outcome;
}

VersionKeeper::Outcome VersionKeeper::adopt(const message::ConfigurationPush &push)
{
    if (push.toVersion <= m_held.version)
        return Outcome::Older;
    if (push.fromVersion == 0) {
        auto next = push.patches.empty() ? decodeHeld("") : decodeHeld(push.patches.front());
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

void VersionKeeper::remember(ChangeRecord change)
{
    change.accepted = true;
    KeptChange kept{ change.from, change.version, encodeChange(change) };
    if (!change.patch.is_array() || kept.text.size() > maxPatchBytes) {
        // Without this change the earlier ones lead nowhere.
        m_changes.clear();
        m_changeBytes = 0;
        return;
    }
    m_changeBytes += kept.text.size();
    m_changes.push_back(std::move(kept));
    while (m_changes.size() > maxChanges || m_changeBytes > maxChangeBytes) {
        m_changeBytes -= m_changes.front().text.size();
        m_changes.pop_front();
    }
}

message::ConfigurationPush VersionKeeper::pushSince(std::uint64_t haveVersion) const
{
    const auto first =
        std::find_if(m_changes.begin(), m_changes.end(),
                     [&](const KeptChange &kept) { return kept.from == haveVersion; });
    message::ConfigurationPush push{ haveVersion, m_held.version, {} };
    std::size_t bytes = 0;
    for (auto next = first; next != m_changes.end(); ++next) {
        bytes += next->text.size();
        push.patches.push_back(next->text);
    }
    if (haveVersion == 0 || first == m_changes.end() || bytes > maxPatchBytes)
        return { 0, m_held.version, { encodeHeld(m_held) } };
    return push;
}

message::ConfigurationPush VersionKeeper::newestChange() const
{
    if (m_changes.empty())
        return { m_held.version, m_held.version, {} };
    const KeptChange &newest = m_changes.back();
    return { newest.from, newest.version, { newest.text } };
}

} // namespace cowsliprock
