#pragma once

#include <cell/model.h>

#include <cstdint>
#include <optional>

namespace cowsliprock::cell {

enum class SubmitResult {
    Accepted,  ///< Stored, by this or by an earlier attempt.
    NotStored, ///< Guaranteed not to be stored, now or later.
    Excess,    ///< Not stored: above the guaranteed rate of its customer, and too late if accepted.
    Unknown,   ///< May have been stored or may still be stored.
};

enum class CancelResult { Cancelled, NoSuchJob, Unavailable };

/// Result of a job status query.
struct StatusAnswer
{
    bool available = false;          ///< False if neither the owner nor the store could be queried.
    std::optional<JobStatus> status; ///< nullopt if there is no such job.
};

} // namespace cowsliprock::cell
