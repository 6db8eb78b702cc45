#include "deployment.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <optional>

namespace review {

namespace {

using std::chrono::milliseconds;

/// finish_s of the users' pages, after the last job was handed in.
constexpr milliseconds finishTime{ 14'000 };
/// For so long a job must have nothing running; twice the 3 s of the pages.
constexpr milliseconds idleTime{ 6'000 };

/// ID of a job; its tasks work for \p ms, and fail then if \p fails.
std::string jobId(unsigned number, unsigned ms, bool fails = false)
{
    char text[17];
    std::snprintf(text, sizeof(text), "%08x0%c%06x", number, fails ? 'f' : '0', ms);
    return text;
}

/// Finds the start of the task after \p after ms.
std::optional<WorkerEvent> startOf(const Deployment &cell, const std::string &task, long after)
{
    const auto events = cell.events();
    const auto found = std::find_if(events.begin(), events.end(), [&](const WorkerEvent &event) {
        return event.what == "started" && event.task == task && event.ms > after;
    });
    return found == events.end() ? std::nullopt : std::optional(*found);
}

std::size_t startsOf(const Deployment &cell, const std::string &job)
{
    const auto events = cell.events();
    return static_cast<std::size_t>(
        std::count_if(events.begin(), events.end(), [&](const WorkerEvent &event) {
            return event.what == "started" && event.task.starts_with(job + ".");
        }));
}

bool awaitStarts(const Deployment &cell, const std::string &job, std::size_t count)
{
    for (int wait = 0; wait < 200; ++wait) {
        if (startsOf(cell, job) >= count)
            return true;
        Deployment::sleep(milliseconds(100));
    }
    return false;
}

/// Asks for a job until it has ended, or \p patience is over.
std::string finalState(Deployment &cell, const std::string &queue, const std::string &job,
                       milliseconds patience)
{
    std::string state;
    for (const long end = cell.now() + patience.count(); cell.now() < end;) {
        state = cell.state(queue, job, milliseconds(5000));
        if (state != "queued" && state != "running")
            break;
        Deployment::sleep(milliseconds(300));
    }
    cell.record("GET " + queue + "/" + job + " shows: " + state);
    return state;
}

/// The last rule of LOST for a job of one task that was just handed in: the verdict of the case.
int judgeIdle(Deployment &cell, const std::string &queue, const std::string &job,
              const std::string &use)
{
    cell.record("the last job was handed in; no more traffic");
    Deployment::sleep(finishTime);
    const auto before = startsOf(cell, job);
    cell.record("finish_s later: starts of " + job + " so far: " + std::to_string(before));
    if (before == 0) {
        Deployment::sleep(idleTime);
        const auto after = startsOf(cell, job);
        cell.record("and for " + std::to_string(idleTime.count())
                    + " ms more: starts: " + std::to_string(after));
        const auto state = cell.state(queue, job, milliseconds(5000));
        cell.record("GET " + queue + "/" + job + " shows: " + state);
        cell.record("room: " + use);
        if (after == 0 && (state == "queued" || state == "running")) {
            cell.record("LOST: nothing of the job runs, though there is room");
            return 1;
        }
    }
    const auto state = finalState(cell, queue, job, milliseconds(20'000));
    cell.recordEvents(job);
    if (state != "completed")
        return 2;
    cell.record("held");
    return 0;
}

/// The platform kills a process that exceeds the memory of its machine. A process that has ended is
/// started again after a moment.
class Platform
{
public:
    Platform(Deployment &cell, std::uint32_t daemons)
        : m_cell(cell)
        , m_machines(daemons)
    { }

    void check()
    {
        for (std::uint32_t number = 0; number < m_machines.size(); ++number) {
            auto &machine = m_machines[number];
            auto &daemon = m_cell.daemon(number);
            if (machine.startAt != 0) {
                if (m_cell.now() < machine.startAt)
                    continue;
                machine.startAt = 0;
                m_cell.startDaemon(number);
            }
            const double used = daemon.residentMb();
            m_peak = std::max(m_peak, used);
            if (used <= memoryLimitMb && daemon.running())
                continue;
            const auto name = "daemon " + std::to_string(number);
            m_cell.record(used > memoryLimitMb
                              ? name + " uses " + std::to_string(static_cast<int>(used))
                                  + " MB of 260 MB and is killed by the platform"
                              : name + " has ended by itself");
            daemon.kill();
            ++machine.ends;
            machine.startAt = m_cell.now() + restartDelay.count();
        }
    }

    [[nodiscard]] bool waitsForStart(std::uint32_t machine) const
    {
        return m_machines.at(machine).startAt != 0;
    }
    [[nodiscard]] int ends(std::uint32_t machine) const { return m_machines.at(machine).ends; }
    [[nodiscard]] int peakMb() const noexcept { return static_cast<int>(m_peak); }

    /// Processes end by themselves three times on a tenth of the machines, two at least.
    [[nodiscard]] bool faulty() const
    {
        return std::count_if(m_machines.begin(), m_machines.end(),
                             [](const Machine &machine) { return machine.ends >= 3; })
            >= 2;
    }

    void recordEnds() const
    {
        std::string text = "highest memory of a daemon: " + std::to_string(peakMb()) + " MB; ends:";
        for (const auto &machine : m_machines)
            text += " " + std::to_string(machine.ends);
        m_cell.record(text);
    }

private:
    static constexpr double memoryLimitMb = 260;
    static constexpr milliseconds restartDelay{ 2000 };
    struct Machine
    {
        int ends = 0;
        long startAt = 0; ///< When its process is started again; 0 while it runs.
    };

    Deployment &m_cell;
    std::vector<Machine> m_machines;
    double m_peak = 0;
};

/// The verdict of a case on the memory of the daemons.
int judgeMemory(Deployment &cell, const Platform &platform, const std::string &state)
{
    platform.recordEnds();
    if (platform.faulty()) {
        cell.record("Fault: processes end by themselves (memory over the limit)");
        return 1;
    }
    if (state != "completed")
        return 2;
    cell.record("held");
    return 0;
}

constexpr const char *ordinaryTask = R"([{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":1000}])";

} // namespace

/// A client that the operator does not control hands in short jobs with many tasks.
int runManyTasks(const CaseArguments &arguments)
{
    constexpr unsigned jobs = 60;
    Deployment::Settings settings;
    Deployment cell(arguments.program, arguments.daemon, arguments.folder, settings);
    if (!cell.start())
        return 2;
    Platform platform(cell, settings.daemons);
    const auto job = jobId(0xd0000000U, 1000);
    const std::string count = arguments.trouble ? "50000" : "5";
    unsigned accepted = 0;
    for (unsigned number = 0; number < jobs; ++number) {
        const auto steps =
            R"([{"count":)" + count + R"(,"cpu":1000,"mem_mb":100,"estimate_ms":2000}])";
        accepted += cell.submit("later", jobId(0xc0000000U + number, 2000), steps) ? 1 : 0;
        platform.check();
    }
    cell.record("jobs with " + count + " tasks accepted: " + std::to_string(accepted)
                + "; nothing more is sent by that client");
    const bool taken = cell.submit("batch", job, ordinaryTask);
    for (const long end = cell.now() + 60'000; cell.now() < end && !platform.faulty();) {
        platform.check();
        Deployment::sleep(milliseconds(50));
        if (!arguments.trouble && startsOf(cell, job) > 0)
            break;
    }
    Deployment::sleep(milliseconds(1500));
    const auto state = cell.state("batch", job, milliseconds(5'000));
    cell.record("ordinary job: " + std::string(taken ? "accepted" : "not accepted")
                + ", shown as: " + state + ", starts: " + std::to_string(startsOf(cell, job)));
    return judgeMemory(cell, platform, state);
}

/// A client that the operator does not control sends requests with unusual methods.
int runManyMethods(const CaseArguments &arguments)
{
    constexpr unsigned requests = 9000;
    constexpr std::size_t methodLength = 15'000;
    Deployment::Settings settings;
    Deployment cell(arguments.program, arguments.daemon, arguments.folder, settings);
    if (!cell.start())
        return 2;
    Platform platform(cell, settings.daemons);
    for (int round = 0; round < 3; ++round) {
        for (std::uint32_t daemon = 0; daemon < 2; ++daemon) {
            const int before = platform.ends(daemon);
            unsigned sent = 0;
            for (auto connection = cell.connect(daemon);
                 sent < requests && platform.ends(daemon) == before; ++sent) {
                char name[16];
                std::snprintf(name, sizeof(name), "M%07u", sent);
                const auto method =
                    arguments.trouble ? name + std::string(methodLength, 'X') : "PUT";
                const auto answer = connection->send(method, "/batch/", { "Host: jobs.example" },
                                                     "", milliseconds(3000));
                if (answer.status == 0)
                    connection = cell.connect(daemon);
                if (sent % 100 == 0)
                    platform.check();
            }
            cell.record("one client has sent " + std::to_string(sent) + " requests to daemon "
                        + std::to_string(daemon) + ", one after the other");
        }
        for (const long end = cell.now() + 4000; cell.now() < end;) {
            platform.check();
            Deployment::sleep(milliseconds(50));
        }
    }
    const auto job = jobId(0xd0000000U, 1000);
    if (!cell.submit("batch", job, ordinaryTask))
        return 2;
    return judgeMemory(cell, platform, finalState(cell, "batch", job, milliseconds(15'000)));
}

/// A job with many steps that can never be done comes; then a less urgent ordinary job.
int runManySteps(const CaseArguments &arguments)
{
    constexpr int steps = 90;
    Deployment cell(arguments.program, arguments.daemon, arguments.folder, {});
    if (!cell.start())
        return 2;
    std::string hopeless;
    for (int step = 0; step < steps; ++step) {
        hopeless += (step == 0 ? "[" : ",")
            + std::string(R"({"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":12000,)"
                          R"("requirements":"no-such-kind"})");
    }
    // Ordinary jobs before and beside it.
    for (unsigned number = 0; number < 25; ++number) {
        if (!cell.submit(number % 2 == 0 ? "batch" : "later", jobId(0xa0000000U + number, 500),
                         R"([{"count":2,"cpu":1000,"mem_mb":100,"estimate_ms":500}])"))
            return 2;
    }
    if (arguments.trouble && !cell.submit("batch", jobId(0xb0000000U, 500), hopeless + "]"))
        return 2;
    Deployment::sleep(milliseconds(2000));
    const auto job = jobId(0xc0000000U, 1000);
    if (!cell.submit("later", job, ordinaryTask))
        return 2;
    return judgeIdle(cell, "later", job, "no worker runs anything; the job needs 1 core of 128");
}

/// The worker that has begun a task a moment ago crashes; later that of the next run does.
int runFalseFailure(const CaseArguments &arguments)
{
    constexpr int maxCrashes = 5;
    constexpr milliseconds timeAfterStart{ 400 };
    constexpr milliseconds downTime{ 4000 };
    Deployment::Settings settings;
    settings.workers = 16;
    Deployment cell(arguments.program, arguments.daemon, arguments.folder, settings);
    if (!cell.start())
        return 2;
    // Other jobs run on all workers meanwhile.
    const auto other = jobId(0xa0000000U, 60'000);
    if (!cell.submit("batch", other,
                     R"([{"count":32,"cpu":1000,"mem_mb":100,"estimate_ms":60000,)"
                     R"("anti_affinity":2}])")
        || !awaitStarts(cell, other, 32))
        return 2;
    Deployment::sleep(milliseconds(2000));
    const auto job = jobId(0xb0000000U, 4000);
    if (!cell.submit("batch", job, R"([{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":4000}])"))
        return 2;
    std::map<std::uint32_t, long> startAt;
    const auto restartWorkers = [&] {
        for (auto worker = startAt.begin(); worker != startAt.end();) {
            if (cell.now() < worker->second) {
                ++worker;
                continue;
            }
            cell.startWorker(worker->first);
            worker = startAt.erase(worker);
        }
    };
    long after = 0;
    for (int crash = 0; arguments.trouble && crash < maxCrashes; ++crash) {
        // Two workers of 16 are down at a time, at most.
        while (startAt.size() > 1) {
            restartWorkers();
            Deployment::sleep(milliseconds(5));
        }
        std::optional<WorkerEvent> begun;
        for (int wait = 0; !begun && wait < 1200; ++wait) {
            begun = startOf(cell, job + ".0.0.0", after);
            restartWorkers();
            Deployment::sleep(milliseconds(5));
        }
        // It was given up.
        if (!begun)
            break;
        after = begun->ms;
        for (std::uint32_t number = 0; number < settings.workers; ++number) {
            if (cell.workerName(number) != begun->worker || startAt.contains(number))
                continue;
            while (cell.now() < begun->ms + timeAfterStart.count())
                Deployment::sleep(milliseconds(2));
            cell.record("worker " + begun->worker + " crashes, "
                        + std::to_string(cell.now() - begun->ms) + " ms after the task's start");
            cell.worker(number).kill();
            startAt[number] = cell.now() + downTime.count();
        }
    }
    while (!startAt.empty()) {
        restartWorkers();
        Deployment::sleep(milliseconds(5));
    }
    const auto state = finalState(cell, "batch", job, milliseconds(40'000));
    cell.recordEvents(job);
    const auto events = cell.events();
    const auto failed = std::count_if(events.begin(), events.end(), [&](const WorkerEvent &event) {
        return event.task.starts_with(job + ".") && event.how == "failed";
    });
    cell.record("ends 'failed' of its runs: " + std::to_string(failed) + ", max_attempts "
                + std::to_string(settings.maxAttempts));
    if (state == "failed" && failed < settings.maxAttempts) {
        cell.record("LOST: the job is shown as failed without cause");
        return 1;
    }
    if (state != "completed")
        return 2;
    cell.record("held");
    return 0;
}

/// A gang waits for room that less urgent work holds; meanwhile a small job comes.
int runWaitingGang(const CaseArguments &arguments)
{
    Deployment cell(arguments.program, arguments.daemon, arguments.folder, {});
    if (!cell.start())
        return 2;
    // Less urgent tasks that last run on all workers.
    const auto background = jobId(0xa0000000U, 0x00ff'ffff);
    if (!cell.submit("later", background,
                     R"([{"count":8,"cpu":4000,"mem_mb":100,"estimate_ms":300,)"
                     R"("long_running":true,"anti_affinity":1}])")
        || !awaitStarts(cell, background, 8))
        return 2;
    if (arguments.trouble
        && !cell.submit("batch", jobId(0xb0000000U, 12'000),
                        R"([{"count":8,"cpu":14000,"mem_mb":100,"estimate_ms":12000,)"
                        R"("gang":true}])"))
        return 2;
    Deployment::sleep(milliseconds(2000));
    const auto job = jobId(0xc0000000U, 1000);
    if (!cell.submit("batch", job, ordinaryTask))
        return 2;
    return judgeIdle(cell, "batch", job,
                     "8 tasks of 4 cores last on 8 workers of 16 cores (32 of 128 cores in use); "
                     "12 cores are free on each; the job needs 1");
}

/// Jobs that need a label fail by their own fault; then a sound job that needs it comes.
int runQuarantine(const CaseArguments &arguments)
{
    Deployment::Settings settings;
    settings.workers = 12;
    settings.labelledWorkers = 2;
    settings.maxAttempts = 2;
    Deployment cell(arguments.program, arguments.daemon, arguments.folder, settings);
    if (!cell.start())
        return 2;
    const std::string steps =
        R"([{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":300,"requirements":"b"}])";
    // Ordinary jobs for the other kind of worker, so that hopeless ones are 5% of any 3 s at most.
    unsigned ordinary = 0;
    const auto ordinaryJobs = [&](int count) {
        for (int number = 0; number < count; ++number) {
            const auto answer =
                cell.call(ordinary, "POST", "/batch/" + jobId(0xd0000000U + ordinary, 300),
                          R"({"spec":"work","steps":[{"count":1,"cpu":1000,"mem_mb":100,)"
                          R"("estimate_ms":300,"requirements":"a"}]})");
            ordinary += answer.status == 200 ? 1 : 0;
            Deployment::sleep(milliseconds(95));
        }
    };
    const std::string expected = arguments.trouble ? "failed" : "completed";
    for (unsigned number = 0; number < 5; ++number) {
        const auto job = jobId(0xa0000000U + number, 300, arguments.trouble);
        if (!cell.submit("batch", job, steps))
            return 2;
        ordinaryJobs(32);
        std::string state = "queued";
        for (int wait = 0; (state == "queued" || state == "running") && wait < 60; ++wait) {
            ordinaryJobs(5);
            state = cell.state("batch", job, milliseconds(5000));
        }
        std::string line("GET batch/");
        line.append(job).append(" shows: ").append(state).append(" (");
        line.append(std::to_string(ordinary)).append(" ordinary jobs accepted so far)");
        cell.record(line);
        if (state != expected)
            return 2;
    }
    const auto job = jobId(0xb0000000U, 1000);
    if (!cell.submit("batch", job, steps))
        return 2;
    return judgeIdle(cell, "batch", job,
                     "no worker runs anything; two sound workers have the label, with 16 cores "
                     "each; the job needs 1 core");
}

} // namespace review
