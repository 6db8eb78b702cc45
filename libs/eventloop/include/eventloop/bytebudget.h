#pragma once

#include <base/time.h>

#include <cstddef>
#include <set>

namespace cowsliprock {

/// Bounds the bytes that the connections of several servers or clients buffer together.
/// Not thread-safe; used only from the thread of the event loop.
class ByteBudget
{
public:
    /// A connection that buffers bytes.
    class Holder
    {
    public:
        virtual ~Holder() = default;
        Holder() = default;
        Holder(const Holder &) = delete;
        Holder &operator=(const Holder &) = delete;

        /// Closes the connection and releases its bytes.
        virtual void reclaimBytes() = 0;

    private:
        friend class ByteBudget;
        std::size_t m_bytes = 0;
        TimePoint m_since{}; ///< When the connection began to hold bytes of its current message.
        bool m_reclaimable = true;
    };

    explicit ByteBudget(std::size_t capacity)
        : m_capacity(capacity)
    { }

    /// Sets what \p holder holds since \p since. If the capacity is exceeded, the holders with the
    /// largest products of bytes and time are closed, possibly including \p holder, so that short
    /// requests are spared. One that is not \p reclaimable is never closed.
    void update(Holder &holder, std::size_t bytes, TimePoint since, TimePoint now,
                bool reclaimable = true);

    /// Must be called before a holder is destroyed.
    void release(Holder &holder) noexcept;

    [[nodiscard]] std::size_t used() const noexcept { return m_used; }
    [[nodiscard]] std::size_t capacity() const noexcept { return m_capacity; }

private:
    void reclaim(TimePoint now);

    std::size_t m_capacity;
    std::size_t m_used = 0;
    std::set<Holder *> m_holders;
};

} // namespace cowsliprock
