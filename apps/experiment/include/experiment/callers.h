#pragma once

#include <experiment/cell.h>
#include <experiment/jobgenerator.h>
#include <experiment/measurements.h>

#include <standincell/guaranteechecker.h>

#include <eventloop/httpclient.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cowsliprock::experiment {

/// Load generator: submits jobs to the cell, polls them until they end, cancels some, and retries
/// submissions that were not answered. All members must be called in the loop's thread.
class Callers
{
public:
    Callers(EventLoop &loop, const Plan &plan, Cell &cell, JobGenerator &jobs,
            standincell::GuaranteeChecker &guarantees, Measurements &measurements);

    /// Starts to submit jobs, for the length of the plan.
    void start();

private:
    /// A job from the client's point of view.
    struct Submission
    {
        std::string id;
        std::size_t kind = 0;
        std::string body;
        std::uint32_t daemon = 0;
        std::uint32_t attempts = 0;
        bool accepted = false;
        bool unanswered = false; ///< An attempt had no answer; the cell may have stored the job.
        bool ended = false;
    };
    using SubmissionPtr = std::shared_ptr<Submission>;

    void scheduleArrival(std::size_t kind);
    void submitNewJob(std::size_t kind);
    void submit(const SubmissionPtr &submission);
    void handleSubmitResponse(const SubmissionPtr &submission, const HttpOutcome &outcome);
    void handleAccepted(const SubmissionPtr &submission);
    void sendDuplicate(const SubmissionPtr &submission);
    void poll(const SubmissionPtr &submission, Duration delay);
    void handleStatusResponse(const SubmissionPtr &submission, const HttpOutcome &outcome);
    void cancel(const SubmissionPtr &submission);
    [[nodiscard]] HttpCall makeCall(const Submission &submission, const char *method) const;
    /// A daemon of Cell::readyDaemons().
    [[nodiscard]] std::uint32_t randomReadyDaemon();
    /// Returns true with the given probability.
    [[nodiscard]] bool bernoulli(double probability);

    EventLoop &m_loop;
    const Plan &m_plan;
    Cell &m_cell;
    JobGenerator &m_jobs;
    standincell::GuaranteeChecker &m_guarantees;
    Measurements &m_measurements;
    HttpClient m_client;
    std::mt19937 m_random;
    TimePoint m_submissionEnd{};
};

} // namespace cowsliprock::experiment
