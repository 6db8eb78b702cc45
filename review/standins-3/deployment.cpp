#include "deployment.h"

#include <base64.h>

#include <nlohmann/json.hpp>

#include <ctime>
#include <filesystem>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr int frontPort = 8161;
constexpr int readyPort = 8167;
constexpr int controlPort = 8166;
constexpr int platformPort = 8169;
constexpr int workerPort = 9000;
constexpr std::uint32_t storeHost = 200;
constexpr std::uint32_t firstWorkerHost = 100;
constexpr milliseconds startTime{ 20'000 };
constexpr milliseconds callTime{ 3000 };

long steadyMs()
{
    timespec now{};
    clock_gettime(CLOCK_MONOTONIC, &now);
    return now.tv_sec * 1000 + now.tv_nsec / 1'000'000;
}

std::string targetOf(const std::string &queue, const std::string &id)
{
    std::string target("/");
    return target.append(queue).append("/").append(id);
}

} // namespace

Deployment::Deployment(std::string program, std::string daemon, std::string folder,
                       Settings settings)
    : m_program(std::move(program))
    , m_daemonProgram(std::move(daemon))
    , m_folder(std::move(folder))
    , m_settings(settings)
    , m_record(m_folder + "/record.txt")
    , m_begun(steadyMs())
    , m_net(static_cast<std::uint32_t>(getpid()))
{
    std::string name = std::filesystem::temp_directory_path() / "review3-XXXXXX";
    if (mkdtemp(name.data()) == nullptr)
        throw std::runtime_error("no temporary folder");
    m_temporary = name;
    m_workers.resize(m_settings.workers);
    m_daemons.resize(m_settings.daemons);
}

Deployment::~Deployment()
{
    m_daemons.clear();
    m_workers.clear();
    m_store.kill();
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr)
        std::filesystem::remove_all(m_temporary, ignored);
}

long Deployment::now() const
{
    return steadyMs() - m_begun;
}

void Deployment::sleep(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

/// Depends on the process ID, so that cases can run beside each other.
std::string Deployment::address(std::uint32_t host, int port) const
{
    return "127." + std::to_string(64 + m_net / 250 % 128) + "." + std::to_string(m_net % 250) + "."
        + std::to_string(host) + ":" + std::to_string(port);
}

void Deployment::record(const std::string &line)
{
    m_record << now() << " ms  " << line << std::endl;
}

std::string Deployment::workerName(std::uint32_t number) const
{
    return "i-" + std::to_string(number) + "-" + std::to_string(m_lives.at(number));
}

bool Deployment::start()
{
    m_store = Process({ m_program, "store", address(storeHost, platformPort), "4" }, {},
                      m_temporary + "/store.log");
    sleep(milliseconds(300));
    configure();
    for (std::uint32_t number = 0; number < m_settings.workers; ++number)
        startWorker(number);
    for (std::uint32_t number = 0; number < m_settings.daemons; ++number)
        startDaemon(number);
    for (const long end = now() + startTime.count(); now() < end; sleep(milliseconds(100))) {
        bool all = true;
        for (std::uint32_t number = 0; number < m_settings.daemons; ++number)
            all = all && ready(number);
        if (all) {
            // An owner has to claim the cell and to hear from the workers.
            sleep(milliseconds(3000));
            record("all daemons are ready");
            return true;
        }
    }
    record("the daemons did not become ready");
    return false;
}

void Deployment::configure()
{
    Json routes = Json::array();
    for (const auto &[name, priority] : { std::pair("batch", 1), std::pair("later", 2) }) {
        routes.push_back({ { "name", name },
                           { "host", "jobs.example" },
                           { "prefix", std::string("/") + name + "/" },
                           { "service", "s" },
                           { "priority", priority },
                           { "max_attempts", m_settings.maxAttempts },
                           { "extension", 4.0 },
                           { "target_runtime_ms", 3000.0 },
                           { "timeout_ms", 3000.0 } });
    }
    const Json configuration{
        { "version", 1 },
        { "routes", std::move(routes) },
        { "services", Json::array({ Json{ { "name", "s" }, { "enforces_capacity", false } } }) },
        { "limits",
          { { "max_header_bytes", 16384 },
            { "max_body_bytes", 262144 },
            { "header_timeout_ms", 3000 },
            { "idle_timeout_ms", 15000 } } }
    };
    const Json transaction{
        { "expected_rev", Json::array() },
        { "writes",
          Json::array(
              { Json{ { "key", "op/config" },
                      { "value", cowsliprock::platform::encodeBase64(configuration.dump()) } } }) },
        { "remove", Json::array() }
    };
    const auto answer = request(address(storeHost, platformPort), "POST", "/v1/kv-txn",
                                { "Host: store" }, transaction.dump(), callTime);
    record("configuration written: " + std::to_string(answer.status));
}

/// A new life has a new ID, and the address of the former one.
void Deployment::startWorker(std::uint32_t number)
{
    ++m_lives[number];
    m_workers.at(number) = Process(
        { m_program, "worker", workerName(number), address(firstWorkerHost + number, workerPort),
          address(storeHost, platformPort), m_temporary + "/events",
          std::to_string(m_settings.workerCpu), std::to_string(m_settings.workerMemoryMb),
          number + m_settings.labelledWorkers < m_settings.workers ? "a" : "b" },
        {}, m_temporary + "/worker.log");
    record("worker " + workerName(number) + " started");
}

void Deployment::startDaemon(std::uint32_t number)
{
    const auto host = number + 1;
    Json seeds = Json::array();
    for (std::uint32_t seed = 0; seed < std::min(m_settings.daemons, 3U); ++seed)
        seeds.push_back(address(seed + 1, controlPort));
    const Json settings{
        { "node_name", "edge-z-" + std::to_string(host) },
        { "role", "celld" },
        { "machine_class", "edge" },
        { "serves", { "edge", "control" } },
        { "zone", "z" },
        { "region", "r" },
        { "listen",
          { { "front", address(host, frontPort) },
            { "ready", address(host, readyPort) },
            { "control", address(host, controlPort) } } },
        { "internal_ports", { 7720, 7735 } },
        { "seeds", seeds },
        { "bootstrap", true },
        { "limits",
          { { "cpu_share", 0.25 },
            { "cores", 1 },
            { "memory_mb", 260 },
            { "max_fds", 4100 },
            { "link_mbps", 1000.0 },
            { "disk_mb", 0 } } },
        { "heartbeat_ms", 1500 },
        { "bounds",
          { { "contact_ms", 4000 },
            { "grace_s", 6 },
            { "hold_max_ms", 10000 },
            { "stop_timeout_ms", 900 },
            { "status_s", 120 } } },
        { "orders", "call" },
        { "platform", { { "address", address(storeHost, platformPort) }, { "form", "kv" } } }
    };
    const auto file = m_temporary + "/daemon-" + std::to_string(number) + ".json";
    std::ofstream(file) << settings.dump(2) << '\n';
    m_daemons.at(number) = Process({ m_daemonProgram }, { "COWSLIPROCK_NODE_FILE=" + file },
                                   m_temporary + "/daemon-" + std::to_string(number) + ".log");
    record("daemon " + std::to_string(number) + " started");
}

bool Deployment::ready(std::uint32_t daemon) const
{
    return request(address(daemon + 1, readyPort), "GET", "/v1/readyz", { "Host: ready" }, "",
                   milliseconds(500))
               .status
        == 200;
}

Answer Deployment::call(std::uint32_t daemon, const std::string &method, const std::string &target,
                        const std::string &body)
{
    return request(address(daemon % m_settings.daemons + 1, frontPort), method, target,
                   { "Host: jobs.example", "Deadline-Ms: " + std::to_string(callTime.count()) },
                   body, callTime);
}

std::unique_ptr<Connection> Deployment::connect(std::uint32_t daemon) const
{
    return std::make_unique<Connection>(address(daemon + 1, frontPort));
}

bool Deployment::submit(const std::string &queue, const std::string &id, const std::string &steps)
{
    const auto body = R"({"spec":"work","steps":)" + steps + "}";
    const auto target = targetOf(queue, id);
    constexpr std::uint32_t tries = 5;
    for (std::uint32_t number = 0; number < tries; ++number) {
        const auto answer = call(number, "POST", target, body);
        record("POST " + target + " at daemon " + std::to_string(number % m_settings.daemons) + ": "
               + std::to_string(answer.status) + " " + answer.detail);
        if (answer.status == 200)
            return true;
        if (answer.status != 0 && answer.status != 429 && answer.status < 500)
            return false;
        sleep(milliseconds(200));
    }
    return false;
}

std::string Deployment::state(const std::string &queue, const std::string &id,
                              milliseconds patience)
{
    const long end = now() + patience.count();
    const auto target = targetOf(queue, id);
    std::uint32_t daemon = 0;
    while (true) {
        const auto answer = call(daemon++, "GET", target, "");
        std::string result;
        if (answer.status == 200)
            result = Json::parse(answer.body, nullptr, false).value("state", "");
        else if (answer.status == 410)
            result = "410";
        if (!result.empty() || now() >= end)
            return result;
        sleep(milliseconds(200));
    }
}

std::vector<WorkerEvent> Deployment::events() const
{
    std::vector<WorkerEvent> result;
    std::ifstream file(m_temporary + "/events");
    for (std::string line; std::getline(file, line);) {
        WorkerEvent event;
        std::istringstream(line) >> event.ms >> event.what >> event.worker >> event.task
            >> event.run >> event.how;
        event.ms -= m_begun;
        result.push_back(event);
    }
    return result;
}

void Deployment::recordEvents(const std::string &job)
{
    for (const auto &event : events()) {
        if (event.task.starts_with(job + "."))
            m_record << "  at " << event.ms << " ms  worker " << event.worker << " " << event.what
                     << " " << event.task << " run " << event.run << " " << event.how << std::endl;
    }
}

} // namespace review
