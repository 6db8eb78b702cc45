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
constexpr std::uint32_t maxTries = 5;

std::optional<JobStatus> statusIn(const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    return json.is_object() ? parseJobStatus(json.value("state", "")) : std::nullopt;
}

bool isEnd(JobStatus status) noexcept
{
    return status != JobStatus::Queued && status != JobStatus::Running;
}

} // namespace

Callers::Callers(EventLoop &loop, const Plan &plan, Cell &cell, JobBook &book,
                 standincell::GuaranteeChecker &guarantees, Measurements &measurements)
    : m_loop(loop)
    , m_plan(plan)
    , m_cell(cell)
    , m_book(book)
    , m_guarantees(guarantees)
    , m_measurements(measurements)
    , m_client(loop)
    , m_random(plan.seed + 1)
{ }

void Callers::start()
{
    m_end = m_loop.now() + m_plan.length;
    for (std::size_t kind = 0; kind < m_plan.kinds.size(); ++kind)
        scheduleArrival(kind);
}

bool Callers::chance(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

std::uint32_t Callers::anyDaemon()
{
    const auto daemons = m_cell.rotation();
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
    if (m_loop.now() + delay > m_end)
        return;
    m_loop.after(delay, [this, kind] {
        arrive(kind);
        scheduleArrival(kind);
    });
}

void Callers::arrive(std::size_t kind)
{
    const auto &entry = m_book.draw(kind);
    auto visit = std::make_shared<Visit>();
    visit->id = entry.id;
    visit->kind = kind;
    visit->body = JobBook::body(entry);
    visit->daemon = anyDaemon();
    m_guarantees.submitted(entry.id, entry.spec, m_plan.kinds[kind].maxAttempts);
    m_measurements.submitted(entry.id, kind);
    submit(visit);
}

HttpCall Callers::callOf(const Visit &visit, const char *method) const
{
    HttpCall call;
    call.peer = m_cell.front(visit.daemon);
    call.method = method;
    call.target = "/" + m_plan.kinds[visit.kind].name + "/" + visit.id;
    call.headers = { { "Host", "cell.example" },
                     { "Deadline-Ms", std::to_string(callDeadline.count()) } };
    call.timeout = callDeadline;
    return call;
}

void Callers::submit(const VisitPtr &visit)
{
    ++visit->tries;
    auto call = callOf(*visit, "POST");
    call.body = visit->body;
    m_client.call(std::move(call),
                  [this, visit](const HttpOutcome &outcome) { submitted(visit, outcome); });
}

void Callers::submitted(const VisitPtr &visit, const HttpOutcome &outcome)
{
    const auto *answer = std::get_if<HttpResponse>(&outcome);
    const unsigned status = answer == nullptr ? 0 : answer->status;
    if (status == statusOk) {
        accept(visit);
    } else if (status == statusTooManyRequests || status == statusUnavailable
               || status == statusNotFound) {
        // Such an answer speaks for its own try only.
        if (!visit->unanswered)
            m_guarantees.refused(visit->id);
        m_measurements.refused(visit->id);
    } else if (visit->tries < maxTries) {
        visit->unanswered = true;
        visit->daemon = anyDaemon();
        m_loop.after(retryDelay, [this, visit] { submit(visit); });
    } else {
        m_measurements.unknown(visit->id);
    }
}

void Callers::accept(const VisitPtr &visit)
{
    m_guarantees.accepted(visit->id);
    m_measurements.accepted(visit->id);
    if (std::exchange(visit->accepted, true))
        return;
    const auto &kind = m_plan.kinds[visit->kind];
    if (chance(kind.cancelShare))
        m_loop.after(kind.work, [this, visit] { cancel(visit); });
    if (chance(kind.repeatShare))
        repeat(visit);
    poll(visit, kind.work);
}

void Callers::repeat(const VisitPtr &visit)
{
    // The same request arrives once more at any daemon; the job remains one.
    m_loop.after(milliseconds(std::uniform_int_distribution<int>(100, 4000)(m_random)),
                 [this, visit] {
                     auto copy = *visit;
                     copy.daemon = anyDaemon();
                     auto call = callOf(copy, "POST");
                     call.body = copy.body;
                     m_client.call(std::move(call), [](const HttpOutcome &) {});
                 });
}

void Callers::poll(const VisitPtr &visit, Duration delay)
{
    m_loop.after(delay, [this, visit] {
        m_client.call(callOf(*visit, "GET"),
                      [this, visit](const HttpOutcome &outcome) { polled(visit, outcome); });
    });
}

void Callers::polled(const VisitPtr &visit, const HttpOutcome &outcome)
{
    const auto *answer = std::get_if<HttpResponse>(&outcome);
    if (answer != nullptr && answer->status == statusGone) {
        m_guarantees.reportedUnknown(visit->id);
        return;
    }
    const auto status =
        answer != nullptr && answer->status == statusOk ? statusIn(answer->body) : std::nullopt;
    if (!status) {
        visit->daemon = anyDaemon();
    } else {
        m_guarantees.statusReported(visit->id, *status);
        if (isEnd(*status)) {
            if (!std::exchange(visit->ended, true))
                m_measurements.ended(visit->id, *status);
            return;
        }
    }
    poll(visit, pollDelay);
}

void Callers::cancel(const VisitPtr &visit)
{
    if (visit->ended)
        return;
    m_guarantees.cancelRequested(visit->id);
    m_client.call(callOf(*visit, "DELETE"), [this, visit](const HttpOutcome &outcome) {
        const auto *answer = std::get_if<HttpResponse>(&outcome);
        if (answer != nullptr && answer->status == statusOk)
            m_guarantees.cancelled(visit->id);
    });
}

} // namespace cowsliprock::experiment
