#include "succession.h"

#include "keys.h"

#include <base/id.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace cowsliprock::cell {

namespace {

/// With more successors, an owner is less likely to find all of them alive during an outage of the
/// store; with fewer, all of them are more likely to be lost together with the owner.
constexpr std::size_t successorCount = 2;

bool isAlive(const std::map<std::string, MemberRecord> &members, const Successor &successor)
{
    const auto member = members.find(successor.name);
    return member != members.end() && member->second.address == successor.address;
}

} // namespace

std::vector<Successor> selectSuccessors(const std::map<std::string, MemberRecord> &members,
                                        const MemberRecord &owner,
                                        const std::vector<Successor> &current)
{
    std::vector<Successor> selected;
    std::vector<std::string> dataCentres{ owner.dataCentre };
    const auto select = [&](const MemberRecord &member) {
        selected.push_back({ member.name, member.address });
        dataCentres.push_back(member.dataCentre);
    };
    for (const auto &successor : current) {
        if (successor.name != owner.name && isAlive(members, successor))
            select(members.at(successor.name));
    }
    const auto rank = [&](const MemberRecord *member) {
        const bool sharesDataCentre =
            std::find(dataCentres.begin(), dataCentres.end(), member->dataCentre)
            != dataCentres.end();
        return std::tuple(sharesDataCentre, -member->weight, stableHash(member->name));
    };
    const auto isSelected = [&selected](const std::string &name) {
        return std::any_of(selected.begin(), selected.end(),
                           [&name](const Successor &each) { return each.name == name; });
    };
    std::vector<const MemberRecord *> candidates;
    for (const auto &[name, member] : members) {
        if (name != owner.name && !isSelected(name))
            candidates.push_back(&member);
    }
    while (selected.size() < successorCount && !candidates.empty()) {
        const auto best = std::min_element(
            candidates.begin(), candidates.end(),
            [&rank](const auto *left, const auto *right) { return rank(left) < rank(right); });
        select(**best);
        candidates.erase(best);
    }
    return selected;
}

SuccessorList::SuccessorList(StorePort &store, const Membership &membership, std::uint32_t shard,
                             std::uint64_t ownershipRevision)
    : m_store(store)
    , m_membership(membership)
    , m_shard(shard)
    , m_ownershipRevision(ownershipRevision)
{
    if (const auto view = membership.successors(shard))
        m_recordRevision = view->revision;
}

SuccessorList::~SuccessorList()
{
    *m_alive = false;
}

std::optional<std::vector<Successor>> SuccessorList::possibleSuccessors() const
{
    if (!m_stored)
        return std::nullopt;
    auto all = *m_stored;
    for (const auto &list : m_unconfirmed) {
        for (const auto &successor : list) {
            if (std::find(all.begin(), all.end(), successor) == all.end())
                all.push_back(successor);
        }
    }
    return all;
}

void SuccessorList::update()
{
    if (m_writing || !m_membership.storeReachableSince())
        return;
    auto list = selectSuccessors(m_membership.members(), m_membership.self(),
                                 m_stored.value_or(std::vector<Successor>()));
    if (m_stored == list && m_unconfirmed.empty())
        return;
    Transaction transaction;
    transaction.conditions.push_back({ keys::owner(m_shard), m_ownershipRevision });
    transaction.conditions.push_back({ keys::successors(m_shard), m_recordRevision });
    transaction.writes.push_back(
        { keys::successors(m_shard), encode(SuccessorsRecord{ m_ownershipRevision, list }), 0 });
    m_writing = true;
    m_unconfirmed.push_back(list);
    m_store.commit(transaction,
                   [this, alive = m_alive, list](const Result<TransactionOutcome> &outcome) {
                       if (*alive)
                           handleWritten(list, outcome);
                   });
}

void SuccessorList::handleWritten(const std::vector<Successor> &list,
                                  const Result<TransactionOutcome> &outcome)
{
    m_writing = false;
    if (!outcome.has_value()) {
        if (!mayHaveTakenEffect(outcome.error()))
            m_unconfirmed.pop_back();
        return;
    }
    if (const auto *failed = std::get_if<ConditionFailed>(&outcome.value())) {
        m_unconfirmed.pop_back();
        adoptStored(failed->present);
        return;
    }
    const auto *committed = std::get_if<Committed>(&outcome.value());
    if (committed == nullptr)
        return;
    // An earlier write can no longer take effect, since the revision of the record has changed.
    m_unconfirmed.clear();
    m_stored = list;
    m_recordRevision = committed->revision;
}

void SuccessorList::adoptStored(const std::vector<StoreItem> &items)
{
    const auto item = std::find_if(items.begin(), items.end(), [this](const StoreItem &each) {
        return each.key == keys::successors(m_shard);
    });
    const auto revision = item == items.end() ? 0 : item->revision;
    if (revision == m_recordRevision)
        return;
    m_recordRevision = revision;
    m_unconfirmed.clear();
    m_stored.reset();
    const auto record = item == items.end() ? std::nullopt : decodeSuccessors(item->value);
    if (record && record->ownershipRevision == m_ownershipRevision)
        m_stored = record->successors;
}

} // namespace cowsliprock::cell
