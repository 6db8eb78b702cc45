#pragma once

#include <base/id.h>
#include <platform/body.h>

#include <memory>
#include <mutex>
#include <unordered_map>

namespace cowsliprock {

/// Shared ownership: the kernel may remove a body from the store while it is still being sent.
using BodyPointer = std::shared_ptr<const Body>;

/// Stores the bodies of requests and answers under the keys that events refer to. Thread-safe.
class BodyStore
{
public:
    /// Stores \p body under \p key and replaces any previous body.
    void put(const BodyKey &key, Body body);

    /// Returns null if no body is stored under \p key.
    [[nodiscard]] BodyPointer find(const BodyKey &key) const;

    /// Does nothing if no body is stored under \p key.
    void remove(const BodyKey &key);

    [[nodiscard]] std::size_t size() const;

private:
    mutable std::mutex m_mutex;
    std::unordered_map<BodyKey, BodyPointer> m_bodies;
};

} // namespace cowsliprock
