#include "identitytable.h"

namespace cowsliprock::requests {

IdentityTable::IdentityTable(Context &context)
    : m_context(context)
{ }

IdentityTable::Key IdentityTable::keyOf(std::string_view identity)
{
    return { stableHash(identity), stableHash(std::string("identity ").append(identity)) };
}

std::optional<IdentityTable::Record> IdentityTable::find(std::string_view identity) const
{
    const Key key = keyOf(identity);
    const auto digest = m_digests.find(key);
    if (digest == m_digests.end())
        return std::nullopt;
    const auto answer = m_answers.find(key);
    return Record{ digest->second, answer == m_answers.end() ? nullptr : &answer->second };
}

void IdentityTable::add(const Key &key, std::uint64_t digest)
{
    if (m_digests.emplace(key, digest).second)
        m_order.emplace_back(m_context.now, key);
}

void IdentityTable::addAnswered(std::string_view identity, std::uint64_t digest,
                                const RequestAnswer &answer)
{
    const Key key = keyOf(identity);
    add(key, digest);
    if (!m_answers.emplace(key, answer).second)
        return;
    m_context.bodies.retain(answer.body);
    m_answerOrder.push_back(key);
    if (m_answerOrder.size() > m_context.settings.answerCacheEntries) {
        evictAnswer(m_answerOrder.front());
        m_answerOrder.pop_front();
    }
}

void IdentityTable::addUnknown(std::string_view identity, std::uint64_t digest)
{
    add(keyOf(identity), digest);
}

void IdentityTable::evictAnswer(const Key &key)
{
    if (const auto answer = m_answers.find(key); answer != m_answers.end()) {
        m_context.bodies.release(answer->second.body, *m_context.output);
        m_answers.erase(answer);
    }
}

void IdentityTable::expire()
{
    while (!m_order.empty()
           && m_order.front().first + m_context.settings.identityRetention <= m_context.now) {
        const Key key = m_order.front().second;
        m_order.pop_front();
        m_digests.erase(key);
        evictAnswer(key);
        // Cached answers are in the same order as their identities.
        if (!m_answerOrder.empty() && m_answerOrder.front() == key)
            m_answerOrder.pop_front();
    }
}

} // namespace cowsliprock::requests
