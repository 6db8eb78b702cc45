#pragma once

#include <cstdint>
#include <string>

namespace cowsliprock::cell {

/// Store keys. All of them start with "cowsliprock/".
namespace keys {

inline const std::string membersPrefix = "cowsliprock/node/";

inline std::string member(const std::string &name)
{
    return membersPrefix + "member/" + name;
}

inline std::string owner(std::uint32_t shard)
{
    return membersPrefix + "owner/" + std::to_string(shard);
}

inline std::string successors(std::uint32_t shard)
{
    return membersPrefix + "successors/" + std::to_string(shard);
}

inline std::string jobsPrefix(std::uint32_t shard)
{
    return "cowsliprock/job/" + std::to_string(shard) + "/";
}

inline std::string statesPrefix(std::uint32_t shard)
{
    return "cowsliprock/state/" + std::to_string(shard) + "/";
}

/// Final states of jobs that no longer need an owner; a new owner does not load them.
inline std::string endedPrefix(std::uint32_t shard)
{
    return "cowsliprock/ended/" + std::to_string(shard) + "/";
}

inline std::string job(std::uint32_t shard, const std::string &id)
{
    return jobsPrefix(shard) + id;
}

inline std::string state(std::uint32_t shard, const std::string &id)
{
    return statesPrefix(shard) + id;
}

inline std::string ended(std::uint32_t shard, const std::string &id)
{
    return endedPrefix(shard) + id;
}

/// Read to check whether the store responds; never written.
inline const std::string probe = "cowsliprock/probe";

/// Workers in use by the owner of a shard, for its successor.
inline std::string roster(std::uint32_t shard)
{
    return "cowsliprock/roster/" + std::to_string(shard);
}

} // namespace keys

} // namespace cowsliprock::cell
