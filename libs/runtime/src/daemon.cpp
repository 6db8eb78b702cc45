#include <runtime/daemon.h>

#include "effectrouter.h"
#include "kernelloop.h"
#include "peerinbox.h"

#include <logging/logging.h>
#include <platform/endpointclient.h>
#include <platform/storeclient.h>
#include <platform/vmlistclient.h>
#include <platform/workerclient.h>

#include <condition_variable>

namespace cowsliprock {

namespace {

constexpr std::chrono::milliseconds tickInterval(50);
constexpr std::chrono::seconds vmListInterval(2);
constexpr std::size_t storeThreadCount = 2; // A slow read must not delay the lease renewal.
constexpr std::size_t watchThreadCount = 1;
constexpr std::size_t maxMessageOverheadBytes = 65'536; // All fields except the body.

} // namespace

struct Daemon::State
{
    explicit State(const DaemonSettings &daemonSettings)
        : settings(daemonSettings)
        , router(settings.kernel.self, bodies, metrics, clock)
    { }

    Result<void> start();
    void stop();
    void runTimer();
    void pollVmList();
    void sleepFor(Duration time);
    void callEndpoint(EndpointCall &call);
    void callWorker(WorkerCall &call);
    void makeClients();
    void makePools();

    DaemonSettings settings;
    Clock clock;
    Metrics metrics;
    BodyStore bodies;
    EffectRouter router;
    std::unique_ptr<KernelLoop> kernel;
    std::unique_ptr<HttpService> http;
    std::unique_ptr<PeerTransport> peers;
    std::unique_ptr<StoreClient> storeClient;
    std::unique_ptr<WorkerClient> workerClient;
    std::unique_ptr<EndpointClient> endpointClient;
    std::unique_ptr<WorkPool<effect::StoreCall>> store;
    std::unique_ptr<WorkPool<effect::StoreCall>> watch;
    std::unique_ptr<WorkPool<WorkerCall>> workers;
    std::unique_ptr<WorkPool<EndpointCall>> endpoints;
    std::thread timer;
    std::thread vmList;
    std::mutex sleepMutex;
    std::condition_variable wake;
    std::atomic<bool> stopping{ false };
};

void Daemon::State::sleepFor(Duration time)
{
    std::unique_lock lock(sleepMutex);
    wake.wait_for(lock, time, [this] { return stopping.load(); });
}

void Daemon::State::runTimer()
{
    while (!stopping) {
        // A tick may be skipped if the ring is full, because the next one has the same effect.
        if (!kernel->tryPost(event::Tick{}))
            metrics.count("kernel.ticksSkipped");
        sleepFor(tickInterval);
    }
}

void Daemon::State::pollVmList()
{
    VmListClientSettings clientSettings;
    clientSettings.address = settings.storeAddress;
    clientSettings.clientName = settings.kernel.self.name.value();
    VmListClient client(clientSettings, clock);
    while (!stopping) {
        if (auto list = client.fetch(); list.has_value())
            kernel->post(std::move(list.value()));
        else
            metrics.count("vmList.unavailable");
        sleepFor(vmListInterval);
    }
}

void Daemon::State::callEndpoint(EndpointCall &call)
{
    auto [reply, answer] = endpointClient->call(call.call, *call.body);
    if (reply.outcome == event::EndpointOutcome::Answered) {
        reply.body = BodyKey("answer/" + call.call.attempt.value());
        bodies.put(reply.body, std::move(answer));
    }
    kernel->post(std::move(reply));
}

void Daemon::State::callWorker(WorkerCall &call)
{
    if (const auto *poll = std::get_if<effect::PollWorker>(&call)) {
        metrics.count("workers.polls");
        std::visit([this](auto result) { kernel->post(std::move(result)); },
                   workerClient->poll(*poll));
    } else if (const auto *start = std::get_if<effect::StartTask>(&call)) {
        kernel->post(workerClient->start(*start));
    } else {
        kernel->post(workerClient->stop(std::get<effect::StopTask>(call)));
    }
}

void Daemon::State::makePools()
{
    const RingSizes &rings = settings.rings;
    const auto callStore = [this](effect::StoreCall &call) {
        kernel->post(storeClient->execute(call));
    };
    store = std::make_unique<WorkPool<effect::StoreCall>>(storeThreadCount, rings.store, callStore);
    watch = std::make_unique<WorkPool<effect::StoreCall>>(watchThreadCount, rings.store, callStore);
    workers = std::make_unique<WorkPool<WorkerCall>>(
        settings.workerCallThreads, rings.worker, [this](WorkerCall &call) { callWorker(call); });
    endpoints = std::make_unique<WorkPool<EndpointCall>>(
        settings.endpointCallThreads, rings.endpoint,
        [this](EndpointCall &call) { callEndpoint(call); });
}

void Daemon::State::makeClients()
{
    const std::string name = settings.kernel.self.name.value();
    const auto countError = [this](const Error &error) { metrics.count("errors." + error.step); };
    StoreClientSettings forStore;
    forStore.address = settings.storeAddress;
    forStore.clientName = name;
    forStore.onError = countError;
    storeClient = std::make_unique<StoreClient>(forStore, clock);
    WorkerClientSettings forWorkers;
    forWorkers.clientName = name;
    forWorkers.onError = countError;
    workerClient = std::make_unique<WorkerClient>(forWorkers, clock);
    EndpointClientSettings forEndpoints;
    forEndpoints.clientName = name;
    forEndpoints.maxAnswerBytes = settings.bodyLimitBytes;
    endpointClient = std::make_unique<EndpointClient>(forEndpoints, clock);
}

Result<void> Daemon::State::start()
{
    makeClients();
    KernelLoop::Builder kernelBuilder;
    kernelBuilder.settings = settings.kernel;
    kernelBuilder.ringSize = settings.rings.kernel;
    kernelBuilder.traceFile = settings.traceFile;
    kernelBuilder.clock = &clock;
    kernelBuilder.metrics = &metrics;
    kernelBuilder.perform = [this](Effect &effect) { return router.perform(effect); };
    kernel = kernelBuilder.build();
    makePools();

    PeerTransport::Builder peerBuilder;
    peerBuilder.listenAddress = settings.peerAddress;
    peerBuilder.peers = settings.kernel.peers;
    peerBuilder.maxMessageBytes = settings.bodyLimitBytes + maxMessageOverheadBytes;
    peerBuilder.ringSize = settings.rings.peer;
    peerBuilder.metrics = &metrics;
    peerBuilder.onMessage = [this](Envelope envelope) {
        if (!receiveMessage(std::move(envelope), bodies, *kernel))
            metrics.count("peer.droppedFullRing");
    };
    BOOST_OUTCOME_TRY(transport, peerBuilder.build());
    peers = std::move(transport);

    HttpService::Builder httpBuilder{ &settings, kernel.get(), &bodies, &metrics };
    BOOST_OUTCOME_TRY(service, httpBuilder.build());
    http = std::move(service);

    router.connect(
        { store.get(), watch.get(), workers.get(), endpoints.get(), peers.get(), http.get() });
    kernel->start();
    timer = std::thread([this] { runTimer(); });
    vmList = std::thread([this] { pollVmList(); });
    return boost::outcome_v2::success();
}

void Daemon::State::stop()
{
    {
        const std::lock_guard lock(sleepMutex);
        stopping = true;
    }
    wake.notify_all();
    if (kernel)
        kernel->stop();
    for (auto *thread : { &timer, &vmList }) {
        if (thread->joinable())
            thread->join();
    }
    http.reset();
    peers.reset();
    endpoints.reset();
    workers.reset();
    // The release of the ownership is written before the kernel ends, so this cancels only pending
    // watches.
    if (storeClient)
        storeClient->cancel();
    watch.reset();
    store.reset();
}

Daemon::Daemon(std::unique_ptr<State> state)
    : m_state(std::move(state))
{ }

Daemon::~Daemon()
{
    m_state->stop();
}

Result<std::unique_ptr<Daemon>> Daemon::Builder::build() const
{
    std::unique_ptr<Daemon> daemon(new Daemon(std::make_unique<State>(settings)));
    BOOST_OUTCOME_TRYV(daemon->m_state->start());
    return daemon;
}

void Daemon::requestDrain()
{
    m_state->kernel->post(event::DrainRequested{});
}

bool Daemon::finished() const noexcept
{
    return m_state->router.exitRequested();
}

} // namespace cowsliprock
