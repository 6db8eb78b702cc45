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

/// Serializes the observations of all workers to JSON, including tasks whose runs overlapped.
[[nodiscard]] std::string observationsToJson(const std::vector<Worker *> &workers);

} // namespace cowsliprock::standin
