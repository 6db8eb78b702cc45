#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace cowsliprock {

/// Strongly typed string identifier. Identifiers with different tags are different types.
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

using RequestId = Id<struct RequestTag>;     ///< A request as received by a daemon.
using AttemptId = Id<struct AttemptTag>;     ///< An attempt at a request or a task; never reused.
using OperationId = Id<struct OperationTag>; ///< An operator call that awaits a response.
using CallId = Id<struct CallTag>;           ///< A call to the platform's store.
using JobId = Id<struct JobTag>;
using WorkerName = Id<struct WorkerTag>;
using DaemonName = Id<struct DaemonTag>;
using PartitionId = Id<struct PartitionTag>; ///< "<data centre>/<index>".
using BodyKey = Id<struct BodyTag>;          ///< A request or response body held by the runtime.

/// 64-bit xxHash. The result is the same on all daemons and in all releases.
[[nodiscard]] std::uint64_t stableHash(std::string_view text) noexcept;

/// Partition of \p dataCentre that the worker, job or identity with this name belongs to.
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
