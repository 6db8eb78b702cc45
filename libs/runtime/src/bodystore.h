#pragma once

#include <base/id.h>
#include <platform/body.h>

#include <memory>
#include <mutex>
#include <unordered_map>

namespace cowsliprock {

/// Shared, because a body may be on its way to a peer while the kernel already forgets it.
using BodyPointer = std::shared_ptr<const Body>;

/// Bodies of requests and answers, keyed as in events. Thread-safe.
class BodyStore
{
public:
    void put(const BodyKey &key, Body body);

    /// Null for an unknown key.
    [[nodiscard]] BodyPointer find(const BodyKey &key) const;

    void forget(const BodyKey &key);

    [[nodiscard]] std::size_t size() const;

private:
    mutable std::mutex m_mutex;
    std::unordered_map<BodyKey, BodyPointer> m_bodies;
};

} // namespace cowsliprock
