#pragma once

#include "client.h"
#include "process.h"

#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace review {

/// An event that a worker has written to its file.
struct WorkerEvent
{
    long ms = 0;
    std::string what;
    std::string worker;
    std::string task;
    int run = 0;
    std::string how;
};

/// A small deployment: a store, workers and daemons in processes of their own, on loopback.
class Deployment
{
public:
    struct Settings
    {
        std::uint32_t daemons = 3;
        std::uint32_t workers = 8;
        long workerCpu = 16'000;
        long workerMemoryMb = 64'000;
        long maxAttempts = 4;
        /// The last workers have the label "b", the others "a".
        std::uint32_t labelledWorkers = 0;
    };

    /// \p folder is that of the case, in which record.txt is written.
    Deployment(std::string program, std::string daemon, std::string folder, Settings settings);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// Starts all processes; returns false if the daemons are not ready in time.
    bool start();
    void startDaemon(std::uint32_t number);
    void startWorker(std::uint32_t number);
    [[nodiscard]] Process &daemon(std::uint32_t number) { return m_daemons.at(number); }
    [[nodiscard]] Process &worker(std::uint32_t number) { return m_workers.at(number); }
    [[nodiscard]] Process &store() { return m_store; }
    [[nodiscard]] std::string workerName(std::uint32_t number) const;

    /// A client's call at one daemon.
    Answer call(std::uint32_t daemon, const std::string &method, const std::string &target,
                const std::string &body);
    /// A connection of a client to a daemon.
    [[nodiscard]] std::unique_ptr<Connection> connect(std::uint32_t daemon) const;
    /// Hands a job in as a client does, with retries at other daemons; true if it was accepted.
    bool submit(const std::string &queue, const std::string &id, const std::string &steps);
    /// The state shown for a job, asked until there is an answer 200 or 410, or \p patience is
    /// over; "410", or empty without an answer.
    std::string state(const std::string &queue, const std::string &id,
                      std::chrono::milliseconds patience);

    [[nodiscard]] std::vector<WorkerEvent> events() const;
    void record(const std::string &line);
    void recordEvents(const std::string &job);
    [[nodiscard]] long now() const;
    static void sleep(std::chrono::milliseconds time);

private:
    [[nodiscard]] std::string address(std::uint32_t host, int port) const;
    void configure();
    [[nodiscard]] bool ready(std::uint32_t daemon) const;

    std::string m_program;
    std::string m_daemonProgram;
    std::string m_folder;
    std::string m_temporary;
    Settings m_settings;
    std::ofstream m_record;
    long m_begun = 0;
    std::uint32_t m_net = 0;
    Process m_store;
    std::vector<Process> m_workers;
    std::vector<Process> m_daemons;
    std::map<std::uint32_t, std::uint32_t> m_lives;
};

/// Settings of a case from the command line of a driver.
struct CaseArguments
{
    std::string program;
    std::string daemon;
    std::string folder;
    bool trouble = true;
};

// The cases: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
int runManyTasks(const CaseArguments &arguments);
int runManyMethods(const CaseArguments &arguments);
int runManySteps(const CaseArguments &arguments);
int runFalseFailure(const CaseArguments &arguments);
int runWaitingGang(const CaseArguments &arguments);
int runQuarantine(const CaseArguments &arguments);

} // namespace review
