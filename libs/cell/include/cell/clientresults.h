#pragma once

#include <cell/model.h>

#include <cstdint>
#include <optional>

namespace cowsliprock::cell {

enum class SubmitResult {
    Accepted,  ///< Stored, now or by an earlier try.
    NotStored, ///< Provably not stored, and never will be.
    Unknown,   ///< It may be stored, now or later.
};

enum class CancelResult { Cancelled, NoSuchJob, Unavailable };

/// Answer to the question for a job's state.
struct StatusAnswer
{
    bool available = false;          ///< False: nobody could be asked.
    std::optional<JobStatus> status; ///< Nothing if there is no such job.
};

} // namespace cowsliprock::cell
