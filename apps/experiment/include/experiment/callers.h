#pragma once

#include <experiment/cell.h>
#include <experiment/jobbook.h>
#include <experiment/measurements.h>

#include <standincell/guaranteechecker.h>

#include <eventloop/httpclient.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cowsliprock::experiment {

/// Clients of the cell: submit jobs, follow them to their end, cancel some, and repeat what was not
/// answered. All members run in the loop's thread.
class Callers
{
public:
    Callers(EventLoop &loop, const Plan &plan, Cell &cell, JobBook &book,
            standincell::GuaranteeChecker &guarantees, Measurements &measurements);

    /// Submits for the length of the plan.
    void start();

private:
    /// One job as its caller follows it.
    struct Visit
    {
        std::string id;
        std::size_t kind = 0;
        std::string body;
        std::uint32_t daemon = 0;
        std::uint32_t tries = 0;
        bool accepted = false;
        bool unanswered = false; ///< A try had no answer, so that the job may be stored.
        bool ended = false;
    };
    using VisitPtr = std::shared_ptr<Visit>;

    void scheduleArrival(std::size_t kind);
    void arrive(std::size_t kind);
    void submit(const VisitPtr &visit);
    void submitted(const VisitPtr &visit, const HttpOutcome &outcome);
    void accept(const VisitPtr &visit);
    void repeat(const VisitPtr &visit);
    void poll(const VisitPtr &visit, Duration delay);
    void polled(const VisitPtr &visit, const HttpOutcome &outcome);
    void cancel(const VisitPtr &visit);
    [[nodiscard]] HttpCall callOf(const Visit &visit, const char *method) const;
    /// A daemon that takes new connections.
    [[nodiscard]] std::uint32_t anyDaemon();
    [[nodiscard]] bool chance(double share);

    EventLoop &m_loop;
    const Plan &m_plan;
    Cell &m_cell;
    JobBook &m_book;
    standincell::GuaranteeChecker &m_guarantees;
    Measurements &m_measurements;
    HttpClient m_client;
    std::mt19937 m_random;
    TimePoint m_end{};
};

} // namespace cowsliprock::experiment
