#pragma once

#include "records.h"

#include <kernel/messages.h>

#include <deque>
#include <memory>

namespace cowsliprock {

/// Holds the configuration in force on this daemon and the changes that led to it. Versions never
/// decrease.
class VersionKeeper
{
public:
    enum class Outcome {
        Adopted,
        Older,     ///< Not newer than the version in force.
        Gap,       ///< The change does not start at the version in force.
        Mismatch,  ///< The result of the change does not match its digest.
        Unreadable ///< The document cannot be read by this release.
    };

    [[nodiscard]] const ConfigurationRecord &record() const noexcept { return m_record; }
    [[nodiscard]] std::uint64_t version() const noexcept { return m_record.version; }
    [[nodiscard]] const ConfigurationPointer &inForce() const noexcept { return m_inForce; }
    [[nodiscard]] std::size_t changeCount() const noexcept { return m_changes.size(); }

    Outcome adopt(ConfigurationRecord next);
    Outcome adopt(const ChangeRecord &change);
    Outcome adopt(const message::ConfigurationPush &push);

    /// Updates the row version of the configuration in force.
    void setRow(std::uint64_t row) noexcept { m_record.row = row; }

    /// The changes since the peer's version, or the whole document if they are not available.
    [[nodiscard]] message::ConfigurationPush pushSince(std::uint64_t haveVersion) const;

    /// Only the newest change. Contains no patch if the change is too large to push; peers then
    /// pull it.
    [[nodiscard]] message::ConfigurationPush newestChange() const;

private:
    Outcome replace(ConfigurationRecord next);
    void retainChange(ChangeRecord change);

    struct RetainedChange
    {
        std::uint64_t from = 0;
        std::uint64_t version = 0;
        std::string text;
    };

    ConfigurationRecord m_record;
    ConfigurationPointer m_inForce = std::make_shared<const Configuration>();
    std::deque<RetainedChange> m_changes; ///< Contiguous: each starts where the previous one ends.
    std::size_t m_changeBytes = 0;
};

} // namespace cowsliprock
