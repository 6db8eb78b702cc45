#pragma once

#include "context.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace cowsliprock::requests {

/// Finished request identities and a bounded cache of their answers. An identity without a cached
/// answer is answered with an unknown outcome.
class IdentityTable
{
public:
    struct Record
    {
        std::uint64_t digest = 0;
        const RequestAnswer *answer = nullptr; ///< Null if not cached; valid until the next change.
    };

    explicit IdentityTable(Context &context);

    [[nodiscard]] std::optional<Record> find(std::string_view identity) const;
    void addAnswered(std::string_view identity, std::uint64_t digest, const RequestAnswer &answer);
    void addUnknown(std::string_view identity, std::uint64_t digest);
    void expire();
    [[nodiscard]] std::size_t size() const noexcept { return m_digests.size(); }
    [[nodiscard]] std::size_t cachedAnswers() const noexcept { return m_answers.size(); }

private:
    /// A 128-bit hash instead of the text saves memory, because identities are kept for a day.
    struct Key
    {
        std::uint64_t first = 0;
        std::uint64_t second = 0;

        bool operator==(const Key &) const = default;
    };
    struct KeyHash
    {
        std::size_t operator()(const Key &key) const noexcept { return key.first; }
    };

    [[nodiscard]] static Key keyOf(std::string_view identity);
    void add(const Key &key, std::uint64_t digest);
    void evictAnswer(const Key &key);

    Context &m_context;
    std::unordered_map<Key, std::uint64_t, KeyHash> m_digests; ///< Request digest of each identity.
    std::deque<std::pair<TimePoint, Key>> m_order;
    std::unordered_map<Key, RequestAnswer, KeyHash> m_answers;
    std::deque<Key> m_answerOrder;
};

} // namespace cowsliprock::requests
