#pragma once

#include <cell/model.h>

#include <optional>
#include <string>

namespace cowsliprock::cell {

/// Returns why the job cannot be run, or std::nullopt if it can: it has no steps, an empty step, or
/// a step that depends on itself, a later or a missing one.
[[nodiscard]] std::optional<std::string> findDefect(const JobSpec &spec);

} // namespace cowsliprock::cell
