#pragma once

#include "membership.h"
#include "records.h"

#include <cell/ports.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cowsliprock::cell {

/// Selects the daemons that may succeed \p owner when its presence expires. Successors that are
/// still alive are kept; others are replaced, preferably by daemons in other data centres, so that
/// a data centre that is cut off does not contain the owner and all its successors.
[[nodiscard]] std::vector<Successor>
selectSuccessors(const std::map<std::string, MemberRecord> &members, const MemberRecord &owner,
                 const std::vector<Successor> &current);

/// Keeps the list of an owner's successors in the store, under the condition of its ownership.
class SuccessorList
{
public:
    SuccessorList(StorePort &store, const Membership &membership, std::uint32_t shard,
                  std::uint64_t ownershipRevision);
    ~SuccessorList();
    SuccessorList(const SuccessorList &) = delete;
    SuccessorList &operator=(const SuccessorList &) = delete;

    /// Stores a new list if the members have changed. Must be called repeatedly, since a write may
    /// fail.
    void update();

    /// All daemons that the stored list may name; nullopt while no list of this ownership is known
    /// to be stored. Includes the lists of writes whose outcome is unknown.
    [[nodiscard]] std::optional<std::vector<Successor>> possibleSuccessors() const;

private:
    void handleWritten(const std::vector<Successor> &list,
                       const Result<TransactionOutcome> &outcome);
    void adoptStored(const std::vector<StoreItem> &items);

    StorePort &m_store;
    const Membership &m_membership;
    std::uint32_t m_shard;
    std::uint64_t m_ownershipRevision;
    std::uint64_t m_recordRevision = 0; ///< Last known revision of the record.
    std::optional<std::vector<Successor>> m_stored;
    std::vector<std::vector<Successor>> m_unconfirmed; ///< Lists that may have been stored.
    bool m_writing = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cowsliprock::cell
