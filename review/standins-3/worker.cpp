#include "modes.h"

#include <standincell/documents.h>
#include <standincell/workermodel.h>
#include <standincellhttp/workerserver.h>

#include <base64.h>

#include <eventloop/eventloop.h>
#include <eventloop/httpclient.h>

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <iostream>
#include <unistd.h>

namespace review {

namespace {

using namespace cowsliprock;
using namespace cowsliprock::standincell;
using Json = nlohmann::json;

constexpr std::chrono::milliseconds heartbeat{ 1500 };
/// Three heartbeats of silence remove the entry.
constexpr std::chrono::milliseconds entryTimeToLive{ 4500 };
constexpr std::size_t workDigits = 6;
constexpr int hexadecimal = 16;

/// Writes what a worker begins and ends to a file, a line each.
class Recorder : public WorkerObserver
{
public:
    explicit Recorder(const std::string &file)
        : m_file(open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644))
    { }
    ~Recorder() override { close(m_file); }
    Recorder(const Recorder &) = delete;
    Recorder &operator=(const Recorder &) = delete;

    void started(const std::string &worker, const cell::TaskId &task, std::uint32_t run,
                 const Resources & /*heldBefore*/, const Resources & /*capacity*/) override
    {
        write("started", worker, task, run, "");
    }
    void ended(const std::string &worker, const cell::FinishedTask &end) override
    {
        write("ended", worker, end.task, end.run, toString(end.kind));
    }
    void acknowledged(const std::string &worker, const cell::FinishedTask &end) override
    {
        write("noted", worker, end.task, end.run, toString(end.kind));
    }
    void capacityChanged(const std::string & /*worker*/, const Resources & /*former*/) override { }
    void crashed(const std::string & /*worker*/) override { }

private:
    void write(const char *what, const std::string &worker, const cell::TaskId &task,
               std::uint32_t run, const std::string &how) const
    {
        timespec now{};
        clock_gettime(CLOCK_MONOTONIC, &now);
        const std::string line = std::to_string(now.tv_sec * 1000 + now.tv_nsec / 1'000'000) + " "
            + what + " " + worker + " " + task.text() + " " + std::to_string(run) + " "
            + (how.empty() ? "-" : how) + "\n";
        static_cast<void>(!::write(m_file, line.data(), line.size()));
    }

    int m_file;
};

/// Keeps the worker's entry in the store.
class Registration
{
public:
    Registration(EventLoop &loop, WorkerModel &model, std::string address, std::string label,
                 SocketAddress store)
        : m_loop(loop)
        , m_model(model)
        , m_address(std::move(address))
        , m_label(std::move(label))
        , m_store(std::move(store))
        , m_client(loop)
    { }

    void beat()
    {
        if (m_lease == 0) {
            call("/v1/kv-lease", Json{ { "ttl_ms", entryTimeToLive.count() } },
                 [this](const Json &body) {
                     m_lease = body.value("lease", std::uint64_t{ 0 });
                     write();
                 });
        } else {
            call("/v1/kv-keep/" + std::to_string(m_lease), Json::object(), [](const Json &) {});
            write();
        }
        m_loop.after(heartbeat, [this] { beat(); });
    }

private:
    void write()
    {
        auto document = Json::parse(workerDocument(m_model, m_address, false, m_label));
        document["seq"] = ++m_sequence;
        call("/v1/kv-txn",
             Json{ { "expected_rev", Json::array() },
                   { "writes",
                     Json::array({ Json{ { "key", workerKey(m_model.id()) },
                                         { "value", platform::encodeBase64(document.dump()) },
                                         { "lease", m_lease } } }) },
                   { "remove", Json::array() } },
             [](const Json &) {});
    }

    void call(const std::string &target, const Json &body,
              const std::function<void(const Json &)> &done)
    {
        HttpCall request;
        request.peer = m_store;
        request.method = "POST";
        request.target = target;
        request.body = body.dump();
        request.timeout = heartbeat;
        m_client.call(std::move(request), [this, done](const HttpOutcome &outcome) {
            const auto *answer = std::get_if<HttpResponse>(&outcome);
            if (answer != nullptr && answer->status == 200)
                done(Json::parse(answer->body, nullptr, false));
            else if (answer != nullptr && answer->status == 404)
                m_lease = 0;
        });
    }

    EventLoop &m_loop;
    WorkerModel &m_model;
    std::string m_address;
    std::string m_label;
    SocketAddress m_store;
    HttpClient m_client;
    std::uint64_t m_lease = 0;
    std::uint64_t m_sequence = 0;
};

/// The last digits of a job's ID tell how many milliseconds each of its tasks works. If the digit
/// before them is f, the tasks fail then by their own fault.
TaskPlan planOf(const cell::TaskId &task, const Resources &amount)
{
    TaskPlan plan;
    plan.amount = amount;
    const auto digits = task.job.substr(task.job.size() - workDigits);
    plan.work = std::chrono::milliseconds(std::stol(digits, nullptr, hexadecimal));
    plan.fails = task.job.at(task.job.size() - workDigits - 1) == 'f';
    return plan;
}

} // namespace

/// worker ID ADDRESS STORE EVENTS_FILE CPU MEMORY_MB LABEL: one life of a worker.
int runWorker(const std::vector<std::string> &arguments)
{
    EventLoop loop;
    Recorder recorder(arguments.at(3));
    WorkerModel::Settings settings;
    settings.id = arguments.at(0);
    settings.capacity = { std::stoll(arguments.at(4)), std::stoll(arguments.at(5)), 0 };
    settings.stopTime = std::chrono::milliseconds(100);
    const Resources one{ 1000, 100, 0 };
    WorkerModel model(
        loop, settings, [&one](const cell::TaskId &task) { return planOf(task, one); }, recorder);
    linkGangs({ &model });
    WorkerServer server(loop, model, 1,
                        [](const std::string &, const std::string &) { return true; });
    const auto bound = server.listen(parseSocketAddress(arguments.at(1)));
    if (!bound.has_value()) {
        std::cerr << bound.error().text() << '\n';
        return 2;
    }
    Registration registration(loop, model, arguments.at(1), arguments.at(6),
                              parseSocketAddress(arguments.at(2)));
    registration.beat();
    loop.run();
    return 0;
}

} // namespace review
