#pragma once

#include <standinworker/worker.h>

#include <httplib.h>

#include <string>
#include <vector>

namespace cowsliprock::standin {

/// Serves the HTTP interface of one worker.
class WorkerHandler
{
public:
    explicit WorkerHandler(Worker &worker)
        : m_worker(worker)
    { }

    void handle(const httplib::Request &request, httplib::Response &response);

private:
    void report(const httplib::Request &request, httplib::Response &response);
    void start(const httplib::Request &request, httplib::Response &response);
    void stop(const httplib::Request &request, httplib::Response &response);
    void setFaults(const httplib::Request &request, httplib::Response &response);
    void serve(const httplib::Request &request, httplib::Response &response);

    Worker &m_worker;
};

/// JSON of the observations of all workers, with the tasks that ran twice at once.
[[nodiscard]] std::string describeAll(const std::vector<Worker *> &workers);

} // namespace cowsliprock::standin
