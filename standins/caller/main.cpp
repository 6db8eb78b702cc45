#include <base/distribution.h>

#include <cxxopts.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <iostream>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace {

using SteadyClock = std::chrono::steady_clock;
using cowsliprock::Distribution;
using cowsliprock::Duration;

constexpr std::chrono::seconds clientTimeout(30);
constexpr std::chrono::milliseconds startDelay(100);

struct LoadOptions
{
    std::vector<std::string> daemons;
    std::string service;
    std::string keyPrefix;
    double requestsPerSecond = 0;
    std::uint64_t requests = 0;
    std::size_t threads = 0;
    unsigned nonIdempotentPercent = 0;
    int deadlineMs = 0;
};

/// Results of all threads. Latency is measured from the scheduled start of a request, so that the
/// delay that a slow response causes to later requests is included.
class Results
{
public:
    void add(const std::string &outcome, Duration latency)
    {
        const std::lock_guard lock(m_mutex);
        ++m_outcomes[outcome];
        if (outcome == "whole")
            m_latency.add(latency);
    }

    [[nodiscard]] nlohmann::json report() const
    {
        const std::lock_guard lock(m_mutex);
        return { { "outcomes", m_outcomes },
                 { "p50Ms", milliseconds(0.5) },
                 { "p99Ms", milliseconds(0.99) } };
    }

private:
    [[nodiscard]] double milliseconds(double fraction) const
    {
        return std::chrono::duration<double, std::milli>(m_latency.quantile(fraction)).count();
    }

    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_outcomes;
    Distribution m_latency;
};

httplib::Headers makeHeaders(const LoadOptions &load, std::uint64_t index)
{
    httplib::Headers headers = { { "X-Deadline-Ms", std::to_string(load.deadlineMs) },
                                 { "X-Caller", "standin-caller" } };
    if (index % 100 < load.nonIdempotentPercent)
        headers.emplace("Idempotency-Key", load.keyPrefix + std::to_string(index));
    else
        headers.emplace("X-Idempotent", "true");
    return headers;
}

std::string send(httplib::Client &client, const LoadOptions &load, std::uint64_t index)
{
    const std::string body = "check " + std::to_string(index);
    const auto result = client.Post("/services/" + load.service + "/check",
                                    makeHeaders(load, index), body, "text/plain");
    if (!result)
        return "broken";
    const std::string outcome = result->get_header_value("X-Outcome");
    if (outcome == "whole" && result->body.find(body) == std::string::npos)
        return "foreign"; // The response must echo the request body.
    return outcome.empty() ? "http-" + std::to_string(result->status) : outcome;
}

void sendRequests(const LoadOptions &load, std::atomic<std::uint64_t> &nextIndex,
                  SteadyClock::time_point start, Results &results)
{
    std::vector<std::unique_ptr<httplib::Client>> clients;
    for (const auto &daemon : load.daemons) {
        auto client = std::make_unique<httplib::Client>("http://" + daemon);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        client->set_read_timeout(clientTimeout);
        clients.push_back(std::move(client));
    }
    for (std::uint64_t index = nextIndex++; index < load.requests; index = nextIndex++) {
        const auto offset =
            std::chrono::duration<double>(static_cast<double>(index) / load.requestsPerSecond);
        const auto scheduledTime =
            start + std::chrono::duration_cast<SteadyClock::duration>(offset);
        std::this_thread::sleep_until(scheduledTime);
        const std::string outcome = send(*clients[index % clients.size()], load, index);
        results.add(outcome,
                    std::chrono::duration_cast<Duration>(SteadyClock::now() - scheduledTime));
    }
}

int run(int argc, char **argv)
{
    cxxopts::Options options("standin-caller", "Sends requests at a fixed rate (open loop).");
    options.add_options()("daemon", "host:port of a daemon; may be repeated",
                          cxxopts::value<std::vector<std::string>>());
    options.add_options()("service", "name of the service", cxxopts::value<std::string>());
    options.add_options()("rate", "requests per second",
                          cxxopts::value<double>()->default_value("100"));
    options.add_options()("requests", "number of requests",
                          cxxopts::value<std::uint64_t>()->default_value("1000"));
    options.add_options()("threads", "maximum number of requests in flight",
                          cxxopts::value<std::size_t>()->default_value("64"));
    options.add_options()("non-idempotent-percent",
                          "percentage of requests sent with an Idempotency-Key",
                          cxxopts::value<unsigned>()->default_value("0"));
    options.add_options()("deadline-ms", "deadline of each request",
                          cxxopts::value<int>()->default_value("2000"));
    options.add_options()("key-prefix", "prefix of the Idempotency-Keys",
                          cxxopts::value<std::string>()->default_value("k"));
    options.add_options()("help", "print this text");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    LoadOptions load;
    load.daemons = arguments["daemon"].as<std::vector<std::string>>();
    load.service = arguments["service"].as<std::string>();
    load.keyPrefix = arguments["key-prefix"].as<std::string>();
    load.requestsPerSecond = arguments["rate"].as<double>();
    load.requests = arguments["requests"].as<std::uint64_t>();
    load.threads = arguments["threads"].as<std::size_t>();
    load.nonIdempotentPercent = arguments["non-idempotent-percent"].as<unsigned>();
    load.deadlineMs = arguments["deadline-ms"].as<int>();

    Results results;
    std::atomic<std::uint64_t> nextIndex{ 0 };
    const auto start = SteadyClock::now() + startDelay;
    std::vector<std::thread> threads;
    for (std::size_t index = 0; index < load.threads; ++index)
        threads.emplace_back([&] { sendRequests(load, nextIndex, start, results); });
    for (auto &thread : threads)
        thread.join();
    std::cout << results.report().dump() << '\n';
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &exception) {
        std::cerr << "standin-caller: " << exception.what() << '\n';
        return 1;
    }
}
