#include "cellparts.h"

#include <calls.h>

#include <standincell/documents.h>

#include <base/id.h>
#include <eventloop/eventloop.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <unistd.h>
#include <utility>

namespace cowsliprock::experiment {

using namespace cell;
using namespace standincell;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds restartDelay{ 400 };
constexpr milliseconds probeInterval{ 1000 };
constexpr milliseconds probeTimeout{ 500 };
/// A daemon gets no new connections after this many failed probes in a row.
constexpr std::uint32_t failedProbesUntilUnready = 2;
constexpr milliseconds ticketValidity{ 2500 };
/// Share of the pairs of step and worker that the policy service allows.
constexpr std::uint64_t allowedPerMille = 700;
constexpr std::uint16_t clientPort = 7001;
constexpr std::uint16_t readyPort = 7002;
constexpr std::uint16_t peerPort = 7003;

const SocketAddress anyPort{ "127.0.0.1", 0 };

/// Loopback address of a daemon. Depends on the process ID, so that experiments can run in
/// parallel.
std::string loopbackAddress(std::uint32_t daemon)
{
    const auto process = static_cast<std::uint32_t>(getpid());
    return "127." + std::to_string(64 + process / 250 % 128) + "." + std::to_string(process % 250)
        + "." + std::to_string(daemon + 1);
}

} // namespace

Cell::Cell(EventLoop &loop, const Plan &plan, Paths paths, JobBehaviour jobBehaviour,
           WorkerObserver &observer)
    : m_loop(loop)
    , m_plan(plan)
    , m_paths(std::move(paths))
    , m_jobBehaviour(std::move(jobBehaviour))
    , m_observer(observer)
    , m_store(loop)
    , m_client(loop)
{ }

Cell::~Cell() = default;

Result<void> Cell::start()
{
    std::filesystem::create_directories(m_paths.folder);
    // Daemons run from a copy, because a build during the run may replace the executable.
    const auto program = m_paths.folder / "daemon";
    std::filesystem::copy_file(m_paths.program, program,
                               std::filesystem::copy_options::overwrite_existing);
    m_paths.program = program.string();
    changeConfiguration();
    for (std::uint32_t number = 0; number < m_plan.workers; ++number) {
        BOOST_OUTCOME_TRYV(startWorker(number));
    }
    std::vector<WorkerModel *> models;
    for (const auto &worker : m_workers)
        models.push_back(worker->model.get());
    linkGangs(models);
    for (std::uint32_t number = 0; number < m_plan.daemons; ++number) {
        BOOST_OUTCOME_TRYV(startDaemon(number));
    }
    m_loop.onSignal(SIGCHLD, [this] { reapDaemons(); });
    probe();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> Cell::startWorker(std::uint32_t number)
{
    auto worker = std::make_unique<Worker>();
    WorkerModel::Settings settings;
    settings.id = "worker-" + std::to_string(number);
    settings.capacity = m_plan.workerCapacity;
    worker->model =
        std::make_unique<WorkerModel>(m_loop, settings, m_jobBehaviour.planTask, m_observer);
    worker->server = std::make_unique<WorkerServer>(
        m_loop, *worker->model, m_plan.seed + number,
        [this, &entry = *worker](const std::string &step, const std::string &ticketValue) {
            return isTicketValid(entry, step, ticketValue);
        });
    BOOST_OUTCOME_TRY(address, worker->server->listen(anyPort));
    worker->proxy = std::make_unique<FaultProxy>(m_loop, address);
    BOOST_OUTCOME_TRY(proxyAddress, worker->proxy->listen(anyPort));
    worker->address = proxyAddress.text();
    publish(*worker);
    m_workers.push_back(std::move(worker));
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> Cell::startDaemon(std::uint32_t number)
{
    auto daemon = std::make_unique<Daemon>();
    daemon->name = "daemon-" + std::to_string(number);
    daemon->ip = loopbackAddress(number);
    daemon->store = std::make_unique<StoreServer>(m_loop, m_store, m_plan.seed * 1000 + number);
    daemon->store->delay(m_plan.storeDelay);
    BOOST_OUTCOME_TRY(store, daemon->store->listen(anyPort));
    daemon->storeProxy = std::make_unique<FaultProxy>(m_loop, store);
    BOOST_OUTCOME_TRY(storeProxy, daemon->storeProxy->listen(anyPort));
    daemon->storeAddress = storeProxy;
    daemon->advice = std::make_unique<AdviceServer>(m_loop, policy());
    BOOST_OUTCOME_TRY(advice, daemon->advice->listen(anyPort));
    daemon->adviceAddress = advice;
    daemon->clientProxy =
        std::make_unique<FaultProxy>(m_loop, SocketAddress{ daemon->ip, clientPort });
    BOOST_OUTCOME_TRY(frontAddress, daemon->clientProxy->listen(anyPort));
    daemon->frontAddress = frontAddress;
    daemon->peerProxy = std::make_unique<FaultProxy>(m_loop, SocketAddress{ daemon->ip, peerPort });
    BOOST_OUTCOME_TRY(peerAddress, daemon->peerProxy->listen(anyPort));
    daemon->advertisedPeerAddress = peerAddress;
    const auto file = [this, &daemon](const char *suffix) {
        return (m_paths.folder / (daemon->name + suffix)).string();
    };
    daemon->process = std::make_unique<DaemonProcess>(
        DaemonProcess::Settings{ m_paths.program, file(".json"), file(".log") });
    writeSettings(*daemon);
    BOOST_OUTCOME_TRYV(daemon->process->start());
    m_daemons.push_back(std::move(daemon));
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void Cell::writeSettings(const Daemon &daemon) const
{
    const auto addressOf = [&daemon](std::uint16_t port) {
        return SocketAddress{ daemon.ip, port }.text();
    };
    const nlohmann::json settings{
        { "node_name", daemon.name },
        { "zone", "z" },
        { "listen",
          { { "front", addressOf(clientPort) },
            { "ready", addressOf(readyPort) },
            { "control", addressOf(peerPort) } } },
        { "advertise", { { "control", daemon.advertisedPeerAddress.text() } } },
        { "platform", { { "address", daemon.storeAddress.text() } } },
        { "advice", daemon.adviceAddress.text() },
        { "limits", { { "cpu_share", 1.0 }, { "cores", 1 } } },
        { "bounds",
          { { "hold_max_ms", 10000 }, { "grace_s", graceTime.count() }, { "status_s", 120 } } }
    };
    std::ofstream(m_paths.folder / (daemon.name + ".json")) << settings.dump(2) << '\n';
}

void Cell::publish(Worker &worker)
{
    if (worker.isolated)
        return;
    m_store.put(workerKey(worker.model->id()),
                workerDocument(*worker.model, worker.address, worker.draining));
}

void Cell::changeConfiguration()
{
    std::vector<QueueSettings> queues;
    for (const auto &kind : m_plan.kinds) {
        QueueSettings queue;
        queue.name = kind.name;
        queue.host = "cell.example";
        queue.prefix = "/" + kind.name + "/";
        queue.service = "s";
        queue.priority = kind.priority;
        queue.maxAttempts = kind.maxAttempts;
        queue.extension = 2.0;
        queue.targetRuntime = std::chrono::seconds(1);
        queue.timeout = std::chrono::seconds(3);
        if (kind.adviceTime > Duration::zero())
            queue.advice = AdviceSettings{ kind.adviceTime, {}, ticketValidity };
        queues.push_back(std::move(queue));
    }
    m_store.put(configurationKey, configurationDocument(++m_version, queues));
}

AdviceServer::Policy Cell::policy() const
{
    AdviceServer::Policy policy;
    policy.decision = m_jobBehaviour.adviceTime;
    policy.validity = ticketValidity;
    policy.allowed = [this](const std::string &step, const std::string &worker) {
        return allowed(step, worker);
    };
    policy.ticket = [this](const std::string & /*step*/, const std::string &worker) {
        return issueTicket(worker);
    };
    return policy;
}

bool Cell::allowed(const std::string &step, const std::string &worker) const
{
    return stableHash(step + worker) % 1000 < allowedPerMille;
}

std::string Cell::issueTicket(const std::string &worker) const
{
    const auto found =
        std::find_if(m_workers.begin(), m_workers.end(),
                     [&worker](const auto &candidate) { return candidate->model->id() == worker; });
    if (found == m_workers.end())
        return {};
    const auto expires = m_loop.now() + ticketValidity;
    return std::to_string((*found)->model->born()) + ":"
        + std::to_string(expires.time_since_epoch().count());
}

bool Cell::isTicketValid(const Worker &worker, const std::string &step,
                         const std::string &ticketValue) const
{
    // Steps of queues without a policy have no ticket.
    if (ticketValue.empty())
        return true;
    const auto colon = ticketValue.find(':');
    const Duration expires(std::strtoll(ticketValue.c_str() + colon + 1, nullptr, 10));
    return allowed(step, worker.model->id())
        && ticketValue.substr(0, colon) == std::to_string(worker.model->born())
        && m_loop.now().time_since_epoch() <= expires;
}

const SocketAddress &Cell::frontAddress(std::uint32_t daemon) const
{
    return m_daemons.at(daemon)->frontAddress;
}

std::vector<std::uint32_t> Cell::readyDaemons() const
{
    std::vector<std::uint32_t> ready;
    std::vector<std::uint32_t> all;
    for (std::uint32_t number = 0; number < m_daemons.size(); ++number) {
        all.push_back(number);
        if (m_daemons[number]->failedProbes < failedProbesUntilUnready)
            ready.push_back(number);
    }
    return ready.empty() ? all : ready;
}

void Cell::probe()
{
    for (const auto &daemon : m_daemons) {
        HttpCall call;
        call.peer = { daemon->ip, readyPort };
        call.target = "/v1/readyz";
        call.timeout = probeTimeout;
        m_client.call(call, [&daemon = *daemon](const HttpOutcome &outcome) {
            const auto *answer = std::get_if<HttpResponse>(&outcome);
            if (answer != nullptr && answer->status == platform::statusOk)
                daemon.failedProbes = 0;
            else
                ++daemon.failedProbes;
        });
    }
    m_loop.after(probeInterval, [this] { probe(); });
}

std::optional<std::uint32_t> Cell::owner() const
{
    const auto item = m_store.read(ownerKey);
    if (!item)
        return std::nullopt;
    const auto name = ownerName(item->value);
    const auto found = std::find_if(m_daemons.begin(), m_daemons.end(),
                                    [&name](const auto &daemon) { return daemon->name == name; });
    if (found == m_daemons.end())
        return std::nullopt;
    return static_cast<std::uint32_t>(found - m_daemons.begin());
}

void Cell::reapDaemons()
{
    for (auto &daemon : m_daemons) {
        if (!daemon->process->reap())
            continue;
        if (!std::exchange(daemon->exitExpected, false) && !m_stopping)
            m_unexpectedExits.push_back("EXIT " + daemon->name + " exited unexpectedly");
        if (m_stopping)
            continue;
        m_loop.after(restartDelay, [this, &daemon = *daemon] {
            if (m_stopping || daemon.process->isRunning())
                return;
            if (const auto started = daemon.process->start(); !started.has_value())
                m_unexpectedExits.push_back(started.error().text());
        });
    }
}

void Cell::stopDaemons()
{
    m_stopping = true;
    for (std::uint32_t number = 0; number < m_daemons.size(); ++number)
        signal(number, SIGTERM);
}

} // namespace cowsliprock::experiment
