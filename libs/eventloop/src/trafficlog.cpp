#include <eventloop/trafficlog.h>

namespace cowsliprock {

namespace {

constexpr std::chrono::seconds lineInterval{ 1 };
/// Less traffic than this since the last line is left for the next one.
constexpr std::uint64_t minBytes = 16UL * 1024UL;

} // namespace

TrafficLog::TrafficLog(EventLog &log)
    : m_log(log)
{ }

void TrafficLog::add(const std::string &name, const HttpClient &client)
{
    m_sources.push_back({ name, client, {} });
}

void TrafficLog::write(TimePoint now)
{
    if (now - m_written < lineInterval)
        return;
    m_written = now;
    for (auto &source : m_sources) {
        const HttpTraffic &traffic = source.client.traffic();
        auto &before = source.logged;
        const auto sent = traffic.bytesSent - before.bytesSent;
        const auto received = traffic.bytesReceived - before.bytesReceived;
        const auto failures = traffic.failures - before.failures;
        if (sent + received < minBytes && failures == 0)
            continue;
        m_log.write(now, "traffic",
                    { { "peers", source.name },
                      { "calls", traffic.calls - before.calls },
                      { "failures", failures },
                      { "bytesSent", sent },
                      { "bytesReceived", received },
                      { "connectionsOpened", traffic.connectionsOpened - before.connectionsOpened },
                      { "inFlight", traffic.inFlight } });
        before = traffic;
    }
}

} // namespace cowsliprock
