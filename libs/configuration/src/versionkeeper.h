#pragma once

#include "records.h"

#include <kernel/messages.h>

#include <deque>
#include <memory>

namespace cowsliprock {

/// The configuration in force on this daemon and the changes that led to it. Versions only go up.
class VersionKeeper
{
public:
    enum class Outcome {
        Adopted,
        Older,     ///< Not newer than the version in force.
        Gap,       ///< The change does not start at the version in force.
        Mismatch,  ///< The change does not lead to the stated digest.
        Unreadable ///< The document cannot be read by this release.
    };

    [[nodiscard]] const HeldConfiguration &held() const noexcept { return m_held; }
    [[nodiscard]] std::uint64_t version() const noexcept { return m_held.version; }
    [[nodiscard]] const ConfigurationPointer &inForce() const noexcept { return m_inForce; }
    [[nodiscard]] std::size_t changeCount() const noexcept { return m_changes.size(); }

    Outcome adopt(HeldConfiguration next);
    Outcome adopt(const ChangeRecord &change);
    Outcome adopt(const message::ConfigurationPush &push);

    /// Corrects the row version of the configuration in force.
    void setRow(std::uint64_t row) noexcept { m_held.row = row; }

    /// What a peer needs: the changes from its version on, or the whole document.
    [[nodiscard]] message::ConfigurationPush pushSince(std::uint64_t haveVersion) const;

    /// The newest change only; without patches if it is too large, so that peers pull it.
    [[nodiscard]] message::ConfigurationPush newestChange() const;

private:
    Outcome replace(HeldConfiguration next);
    void remember(ChangeRecord change);

    struct KeptChange
    {
        std::uint64_t from = 0;
        std::uint64_t version = 0;
        std::string text;
    };

    HeldConfiguration m_held;
    ConfigurationPointer m_inForce = std::make_shared<const Configuration>();
    std::deque<KeptChange> m_changes; ///< Each starts at the version at which the last one ends.
    std::size_t m_changeBytes = 0;
};

} // namespace cowsliprock
