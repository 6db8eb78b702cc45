#include <eventloop/trafficlog.h>

namespace cowsliprock {

namespace {

constexpr std::chrono::seconds logInterval{ 1 };
/// Traffic below this threshold is not logged yet, but added to the next entry.
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
    if (now - m_lastWrite < logInterval)
        return;
    m_lastWrite = now;
    for (auto &source : m_sources) {
        const HttpTraffic &traffic = source.client.traffic();
        auto &previous = source.logged;
        const auto sent = traffic.bytesSent - previous.bytesSent;
        const auto received = traffic.bytesReceived - previous.bytesReceived;
        const auto failures = traffic.failures - previous.failures;
        if (sent + received < minBytes && failures == 0)
            continue;
        m_log.write(
            now, "traffic",
            { { "peers", source.name },
              { "calls", traffic.calls - previous.calls },
              { "failures", failures },
              { "bytesSent", sent },
              { "bytesReceived", received },
              { "connectionsOpened", traffic.connectionsOpened - previous.connectionsOpened },
              { "inFlight", traffic.inFlight } });
        previous = traffic;
    }
}

} // namespace cowsliprock
