#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace cowsliprock {

/// A string identifier that cannot be mixed up with one of another kind.
template <typename Tag>
class Id
{
public:
    Id() = default;
    explicit Id(std::string value)
        : m_value(std::move(value))
    { }

    [[nodiscard]] const std::string &value() const noexcept { return m_value; }
    [[nodiscard]] bool empty() const noexcept { return m_value.empty(); }
    auto operator<=>(const Id &) const = default;

private:
    std::string m_value;
};

using RequestId = Id<struct RequestTag>;     ///< One arrival of a request at a daemon.
using AttemptId = Id<struct AttemptTag>;     ///< One try of a request or a task; never reused.
using OperationId = Id<struct OperationTag>; ///< One operator call waiting for an answer.
using CallId = Id<struct CallTag>;           ///< One call of the platform's store.
using JobId = Id<struct JobTag>;
using WorkerName = Id<struct WorkerTag>;
using DaemonName = Id<struct DaemonTag>;
using PartitionId = Id<struct PartitionTag>; ///< "<data centre>/<index>".
using BodyKey = Id<struct BodyTag>;          ///< A request or answer body held by the runtime.

/// Stable 64-bit hash (xxHash); the same on every daemon and release.
[[nodiscard]] std::uint64_t stableHash(std::string_view text) noexcept;

/// Partition of a worker, job or identity among the partitions of one data centre.
[[nodiscard]] PartitionId partitionOf(std::string_view name, const std::string &dataCentre,
                                      std::uint32_t partitionsPerDataCentre);

} // namespace cowsliprock

template <typename Tag>
struct std::hash<cowsliprock::Id<Tag>>
{
    std::size_t operator()(const cowsliprock::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};
