#include <standinplatform/platformserver.h>

#include <kernel/serialization.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace cowsliprock::standin {

namespace {

using nlohmann::json;

constexpr std::size_t maxValueBytes = std::size_t{ 1 } << 20U;
constexpr std::chrono::milliseconds maxWatch{ 30'000 };
constexpr const char *jsonType = "application/json";

[[nodiscard]] std::string clientName(const httplib::Request &request)
{
    return request.has_header("X-Client") ? request.get_header_value("X-Client") : "anonymous";
}

void sendJson(httplib::Response &response, int status, const json &document)
{
    response.status = status;
    response.set_content(document.dump(), jsonType);
}

void sendError(httplib::Response &response, int status, const std::string &text)
{
    sendJson(response, status, { { "error", text } });
}

[[nodiscard]] std::uint64_t numericParameter(const httplib::Request &request,
                                             const std::string &name)
{
    return std::stoull(request.get_param_value(name));
}

[[nodiscard]] std::size_t headerSize(const httplib::Headers &headers)
{
    std::size_t bytes = 2;
    for (const auto &[name, value] : headers)
        bytes += name.size() + value.size() + 4;
    return bytes;
}

/// Declares a body but never sends it, so that the connection closes on an incomplete response.
void dropReply(httplib::Response &response)
{
    response.status = 200;
    response.set_content_provider(
        1, jsonType, [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
}

[[nodiscard]] const char *operationName(const httplib::Request &request)
{
    if (request.path == "/v1/watch")
        return "watch";
    if (request.method == "PUT")
        return "put";
    return request.has_param("prefix") ? "list" : "get";
}

} // namespace

PlatformServer::PlatformServer(const PlatformOptions &options)
    : m_options(options)
    , m_vms(options.vms, options.vmListDelay)
    , m_pool(options.threads)
    , m_host(m_pool)
{
    httplib::Server &server = m_host.server();
    server.set_payload_max_length(maxValueBytes);
    m_host.setHandler([this](const httplib::Request &request, httplib::Response &response) {
        handle(request, response);
    });
    server.set_logger([this](const httplib::Request &request, const httplib::Response &response) {
        m_statistics.countBytes(request.method.size() + request.target.size() + 12
                                    + headerSize(request.headers) + request.body.size(),
                                17 + headerSize(response.headers) + response.body.size());
    });
}

PlatformServer::~PlatformServer()
{
    stop();
}

Result<int> PlatformServer::listen()
{
    auto port = m_host.bind(m_options.host, m_options.port);
    if (port)
        m_host.start();
    return port;
}

void PlatformServer::stop()
{
    m_stopping = true;
    m_store.wakeWatchers();
    m_host.stop();
}

void PlatformServer::handle(const httplib::Request &request, httplib::Response &response)
{
    try {
        if (request.path == "/v1/kv" || request.path == "/v1/watch")
            handleStore(request, response);
        else if (request.path == "/v1/vms")
            handleVms(request, response);
        else if (request.path == "/v1/faults")
            handleFaults(request, response);
        else if (request.path == "/v1/stats")
            response.set_content(m_statistics.toJson(), jsonType);
        else
            sendError(response, 404, "no such path");
    } catch (const std::exception &exception) {
        sendError(response, 400, exception.what());
    }
}

void PlatformServer::handleStore(const httplib::Request &request, httplib::Response &response)
{
    const std::string client = clientName(request);
    const std::string operation = operationName(request);
    m_statistics.countCall(client, operation);
    if (m_faults.outageFor(client))
        return sendError(response, 503, "outage");
    std::this_thread::sleep_for(m_faults.delay());
    if (operation == "watch")
        watch(request, response);
    else if (operation == "put")
        put(request, response);
    else if (operation == "list")
        list(request, response);
    else
        get(request, response);
}

void PlatformServer::get(const httplib::Request &request, httplib::Response &response)
{
    const StoredRow row = m_store.get(request.get_param_value("key"));
    if (row.version == 0)
        return sendError(response, 404, "no such key");
    sendJson(response, 200,
             { { "key", row.key }, { "version", row.version }, { "value", row.value } });
}

void PlatformServer::put(const httplib::Request &request, httplib::Response &response)
{
    std::optional<std::chrono::milliseconds> timeToLive;
    if (request.has_param("ttlMs"))
        timeToLive = std::chrono::milliseconds(numericParameter(request, "ttlMs"));
    // Values are returned as JSON strings. Serialization throws if the value is not valid UTF-8.
    static_cast<void>(json(request.body).dump());
    const auto [written, row] =
        m_store.compareAndSwap(request.get_param_value("key"), numericParameter(request, "version"),
                               request.body, timeToLive);
    if (written && m_faults.consumeLostReply())
        return dropReply(response);
    if (written)
        sendJson(response, 200, { { "version", row.version } });
    else
        sendJson(response, 409, { { "version", row.version }, { "value", row.value } });
}

void PlatformServer::list(const httplib::Request &request, httplib::Response &response)
{
    json rows = json::array();
    for (const StoredRow &row : m_store.list(request.get_param_value("prefix"))) {
        rows.push_back({ { "key", row.key }, { "version", row.version }, { "value", row.value } });
    }
    sendJson(response, 200, { { "rows", std::move(rows) } });
}

void PlatformServer::watch(const httplib::Request &request, httplib::Response &response)
{
    const std::uint64_t version = numericParameter(request, "version");
    const auto limit =
        std::min(maxWatch, std::chrono::milliseconds(numericParameter(request, "timeoutMs")));
    const std::string client = clientName(request);
    const StoredRow row = m_store.watch(request.get_param_value("key"), version,
                                        std::chrono::steady_clock::now() + limit,
                                        [&] { return m_stopping || m_faults.outageFor(client); });
    if (m_faults.outageFor(client))
        return sendError(response, 503, "outage");
    if (row.version == version) {
        response.status = 304;
        return;
    }
    sendJson(response, 200, { { "version", row.version }, { "value", row.value } });
}

void PlatformServer::handleVms(const httplib::Request &request, httplib::Response &response)
{
    if (request.method == "POST") {
        auto entry = decodeVm(request.body);
        if (!entry)
            return sendError(response, 400, entry.error().text());
        m_vms.put(std::move(entry).value());
        return sendJson(response, 200, json::object());
    }
    if (request.method == "DELETE") {
        m_vms.remove(request.get_param_value("name"));
        return sendJson(response, 200, json::object());
    }
    m_statistics.countCall(clientName(request), "vms");
    if (m_faults.vmListOutage())
        return sendError(response, 503, "outage");
    response.set_content(encodeVmList(m_vms.visible()), jsonType);
}

void PlatformServer::handleFaults(const httplib::Request &request, httplib::Response &response)
{
    if (request.method == "POST") {
        if (auto applied = m_faults.apply(request.body); !applied)
            return sendError(response, 400, applied.error().text());
        m_store.wakeWatchers();
    }
    response.set_content(m_faults.toJson(), jsonType);
}

} // namespace cowsliprock::standin
