#include <experiment/callers.h>

#include <calls.h>

#include <eventloop/eventloop.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace cowsliprock::experiment {

using namespace cell;
using namespace platform;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds callDeadline{ 3000 };
constexpr milliseconds retryDelay{ 300 };
constexpr milliseconds pollDelay{ 700 };
constexpr std::uint32_t maxSubmitAttempts = 5;

std::optional<JobStatus> parseStatus(const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    return json.is_object() ? parseJobStatus(json.value("state", "")) : std::nullopt;
}

bool isTerminal(JobStatus status) noexcept
{
    return status != JobStatus::Queued && status != JobStatus::Running;
}

} // namespace

Callers::Callers(EventLoop &loop, const Plan &plan, Cell &cell, JobGenerator &jobs,
                 standincell::GuaranteeChecker &guarantees, Measurements &measurements)
    : m_loop(loop)
    , m_plan(plan)
    , m_cell(cell)
    , m_jobs(jobs)
    , m_guarantees(guarantees)
    , m_measurements(measurements)
    , m_client(loop)
    , m_random(plan.seed + 1)
{ }

void Callers::start()
{
    m_submissionEnd = m_loop.now() + m_plan.length;
    for (std::size_t kind = 0; kind < m_plan.kinds.size(); ++kind)
        scheduleArrival(kind);
}

bool Callers::bernoulli(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

std::uint32_t Callers::randomReadyDaemon()
{
    const auto daemons = m_cell.readyDaemons();
    std::uniform_int_distribution<std::size_t> pick(0, daemons.size() - 1);
    return daemons[pick(m_random)];
}

void Callers::scheduleArrival(std::size_t kind)
{
    const auto perSecond = m_plan.kinds[kind].perSecond;
    if (perSecond <= 0)
        return;
    const std::chrono::duration<double> pause(
        std::exponential_distribution<double>(perSecond)(m_random));
    const auto delay = std::chrono::duration_cast<Duration>(pause);
    if (m_loop.now() + delay > m_submissionEnd)
        return;
    m_loop.after(delay, [this, kind] {
        submitNewJob(kind);
        scheduleArrival(kind);
    });
}

void Callers::submitNewJob(std::size_t kind)
{
    const auto &entry = m_jobs.generate(kind);
    auto submission = std::make_shared<Submission>();
    submission->id = entry.id;
    submission->kind = kind;
    submission->body = JobGenerator::body(entry);
    submission->daemon = randomReadyDaemon();
    m_guarantees.submitted(entry.id, entry.spec, m_plan.kinds[kind].maxAttempts);
    m_measurements.submitted(entry.id, kind);
    submit(submission);
}

HttpCall Callers::makeCall(const Submission &submission, const char *method) const
{
    HttpCall call;
    call.peer = m_cell.frontAddress(submission.daemon);
    call.method = method;
    call.target = "/" + m_plan.kinds[submission.kind].name + "/" + submission.id;
    call.headers = { { "Host", "cell.example" },
                     { "Deadline-Ms", std::to_string(callDeadline.count()) } };
    call.timeout = callDeadline;
    return call;
}

void Callers::submit(const SubmissionPtr &submission)
{
    ++submission->attempts;
    auto call = makeCall(*submission, "POST");
    call.body = submission->body;
    m_client.call(std::move(call), [this, submission](const HttpOutcome &outcome) {
        handleSubmitResponse(submission, outcome);
    });
}

void Callers::handleSubmitResponse(const SubmissionPtr &submission, const HttpOutcome &outcome)
{
    const auto *response = std::get_if<HttpResponse>(&outcome);
    const unsigned status = response == nullptr ? 0 : response->status;
    if (status == statusOk) {
        handleAccepted(submission);
    } else if (status == statusTooManyRequests || status == statusUnavailable
               || status == statusNotFound) {
        // A refusal holds for its own attempt only: an earlier, unanswered one may have been
        // accepted.
        if (!submission->unanswered)
            m_guarantees.refused(submission->id);
        m_measurements.refused(submission->id);
    } else if (submission->attempts < maxSubmitAttempts) {
        submission->unanswered = true;
        submission->daemon = randomReadyDaemon();
        m_loop.after(retryDelay, [this, submission] { submit(submission); });
    } else {
        m_measurements.unknown(submission->id);
    }
}

void Callers::handleAccepted(const SubmissionPtr &submission)
{
    m_guarantees.accepted(submission->id);
    m_measurements.accepted(submission->id);
    if (std::exchange(submission->accepted, true))
        return;
    const auto &kind = m_plan.kinds[submission->kind];
    if (bernoulli(kind.cancelShare))
        m_loop.after(kind.work, [this, submission] { cancel(submission); });
    if (bernoulli(kind.repeatShare))
        sendDuplicate(submission);
    poll(submission, kind.work);
}

void Callers::sendDuplicate(const SubmissionPtr &submission)
{
    // Sends the same request again, maybe to another daemon. It must not create a second job.
    m_loop.after(milliseconds(std::uniform_int_distribution<int>(100, 4000)(m_random)),
                 [this, submission] {
                     auto duplicate = *submission;
                     duplicate.daemon = randomReadyDaemon();
                     auto call = makeCall(duplicate, "POST");
                     call.body = duplicate.body;
                     m_client.call(std::move(call), [](const HttpOutcome &) {});
                 });
}

void Callers::poll(const SubmissionPtr &submission, Duration delay)
{
    m_loop.after(delay, [this, submission] {
        m_client.call(makeCall(*submission, "GET"), [this, submission](const HttpOutcome &outcome) {
            handleStatusResponse(submission, outcome);
        });
    });
}

void Callers::handleStatusResponse(const SubmissionPtr &submission, const HttpOutcome &outcome)
{
    const auto *response = std::get_if<HttpResponse>(&outcome);
    if (response != nullptr && response->status == statusGone) {
        m_guarantees.reportedUnknown(submission->id);
        return;
    }
    const auto status = response != nullptr && response->status == statusOk
        ? parseStatus(response->body)
        : std::nullopt;
    if (!status) {
        submission->daemon = randomReadyDaemon();
    } else {
        m_guarantees.statusReported(submission->id, *status);
        if (isTerminal(*status)) {
            if (!std::exchange(submission->ended, true))
                m_measurements.ended(submission->id, *status);
            return;
        }
    }
    poll(submission, pollDelay);
}

void Callers::cancel(const SubmissionPtr &submission)
{
    if (submission->ended)
        return;
    m_guarantees.cancelRequested(submission->id);
    m_client.call(makeCall(*submission, "DELETE"), [this, submission](const HttpOutcome &outcome) {
        const auto *response = std::get_if<HttpResponse>(&outcome);
        if (response != nullptr && response->status == statusOk)
            m_guarantees.cancelled(submission->id);
    });
}

} // namespace cowsliprock::experiment
