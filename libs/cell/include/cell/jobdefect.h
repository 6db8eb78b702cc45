#pragma once

#include <cell/model.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace cowsliprock::cell {

/// Upper bounds on what one job may request, so that a single request cannot exhaust the memory of
/// a daemon or make its arithmetic overflow.
namespace joblimits {

constexpr std::size_t maxSteps = 100;
/// Steps of all occurrences. Each of them is inspected in every pass over the waiting steps: 10,000
/// that are due at once take most of a processor core.
constexpr std::uint64_t maxStepOccurrences = 2'000;
/// Tasks of all steps in all occurrences; 50,000 take 13 MB.
constexpr std::uint64_t maxTasks = 50'000;
/// Of each resource of one task, in the units of Resources.
constexpr std::int64_t maxAmount = 1'000'000'000;
/// Of an estimate, a target latency and the interval between two occurrences.
constexpr std::chrono::hours maxDuration{ 24 * 366 };
/// Of the first start: the beginning of the year 10000.
constexpr std::chrono::milliseconds maxFirstStart{ 253'402'300'800'000 };

} // namespace joblimits

/// Returns why the job cannot be run, or std::nullopt if it can: it has no steps, an empty step, a
/// step that depends on itself, a later or a missing one, a negative value or one above a limit.
[[nodiscard]] std::optional<std::string> findDefect(const JobSpec &spec);

} // namespace cowsliprock::cell
