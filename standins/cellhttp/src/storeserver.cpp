#include <standincellhttp/storeserver.h>

#include "wire.h"

#include <calls.h>

#include <base/parsenumber.h>
#include <eventloop/eventloop.h>

#include <utility>

namespace cowsliprock::standincell {

using namespace cell;
using namespace platform;

namespace {

constexpr std::chrono::milliseconds minDelay{ 500 };
constexpr std::chrono::milliseconds maxDelay{ 3000 };

const std::string keepPath = "/v1/kv-keep/";
const std::string endPath = "/v1/kv-lease-end/";

std::string callKind(const std::string &path)
{
    if (path == "/v1/kv-txn")
        return "commit";
    if (path == "/v1/kv-watch")
        return "watch";
    if (path == "/v1/kv-range")
        return "list";
    if (path == "/v1/kv-key")
        return "read";
    return path.starts_with(keepPath) ? "keepLease" : "lease";
}

std::uint64_t numberAfter(const std::string &path, const std::string &prefix)
{
    return parseNumber<std::uint64_t>(std::string_view(path).substr(prefix.size())).value_or(0);
}

} // namespace

StoreServer::StoreServer(EventLoop &loop, StoreModel &store, std::uint32_t seed)
    : m_loop(loop)
    , m_store(store)
    , m_random(seed)
    , m_server(loop, [this](const HttpRequest &request, const Respond &respond) {
        handle(request, respond);
    })
{ }

Result<SocketAddress> StoreServer::listen(const SocketAddress &address)
{
    HttpServer::Limits limits;
    limits.bodyBytes = 8UL * 1024UL * 1024UL;
    return m_server.listen(address, limits);
}

void StoreServer::handle(const HttpRequest &request, const Respond &respond)
{
    ++m_calls[callKind(parseTarget(request.target).path)];
    const Respond discardReply = [](const HttpServerResponse &) {};
    switch (m_fault) {
    case StoreFault::None:
        if (m_delay <= Duration::zero())
            execute(request, respond);
        else
            m_loop.after(m_delay, [this, request, respond] { execute(request, respond); });
        return;
    case StoreFault::Refuse:
        respond(reply(statusUnavailable));
        return;
    case StoreFault::Silent:
        m_unanswered.push_back(respond);
        return;
    case StoreFault::Reset:
        // Dropping the last reference to respond closes the connection without a reply.
        return;
    case StoreFault::LoseReply:
        m_unanswered.push_back(respond);
        execute(request, discardReply);
        return;
    case StoreFault::ApplyLate: {
        m_unanswered.push_back(respond);
        std::uniform_int_distribution<std::int64_t> pick(minDelay.count(), maxDelay.count());
        m_loop.after(std::chrono::milliseconds(pick(m_random)),
                     [this, request, discardReply] { execute(request, discardReply); });
        return;
    }
    }
}

void StoreServer::execute(const HttpRequest &request, const Respond &respond)
{
    const auto target = parseTarget(request.target);
    if (target.path == "/v1/kv-key") {
        if (const auto item = m_store.read(target.value("key")))
            respond(reply(statusOk, toJson(*item)));
        else
            respond(reply(statusNotFound));
    } else if (target.path == "/v1/kv-range") {
        const auto page = m_store.list(target.value("prefix"), target.value("after"));
        Json items = Json::array();
        for (const auto &item : page.items)
            items.push_back(toJson(item));
        respond(reply(
            statusOk,
            { { "items", std::move(items) }, { "has_more", page.more }, { "as_of", page.asOf } }));
    } else if (target.path == "/v1/kv-watch") {
        watch(request, respond);
    } else if (target.path == "/v1/kv-txn") {
        commit(request, respond);
    } else {
        lease(request, respond);
    }
}

void StoreServer::watch(const HttpRequest &request, const Respond &respond)
{
    const auto target = parseTarget(request.target);
    const std::chrono::milliseconds wait(target.number("wait_ms"));
    m_store.watch(
        target.value("prefix"), target.number("after"), wait, [respond](const StoreEvents &seen) {
            if (seen.historyLost) {
                respond(reply(statusGone));
                return;
            }
            Json events = Json::array();
            for (const auto &event : seen.events) {
                if (event.removed)
                    events.push_back({ { "key", event.item.key },
                                       { "revision", event.item.revision },
                                       { "deleted", true } });
                else
                    events.push_back(toJson(event.item));
            }
            respond(reply(statusOk, { { "events", std::move(events) }, { "as_of", seen.asOf } }));
        });
}

void StoreServer::commit(const HttpRequest &request, const Respond &respond)
{
    const auto transaction = readJson(Json::parse(request.body, nullptr, false),
                                      [](const Json &json) { return toTransaction(json); });
    if (!transaction || transaction->size() > maxTransactionEntries) {
        respond(reply(statusBadRequest));
        return;
    }
    const auto outcome = m_store.commit(*transaction);
    if (const auto *committed = std::get_if<Committed>(&outcome)) {
        respond(reply(statusOk, { { "revision", committed->revision } }));
    } else if (const auto *failed = std::get_if<ConditionFailed>(&outcome)) {
        Json items = Json::array();
        for (const auto &item : failed->present)
            items.push_back(toJson(item));
        respond(reply(statusPreconditionFailed, { { "items", std::move(items) } }));
    } else {
        respond(reply(statusNotFound));
    }
}

void StoreServer::lease(const HttpRequest &request, const Respond &respond)
{
    const auto path = parseTarget(request.target).path;
    if (path == "/v1/kv-lease") {
        const Json body = Json::parse(request.body, nullptr, false);
        const std::chrono::milliseconds time(
            body.is_object() ? body.value("ttl_ms", std::int64_t{ 1000 }) : 1000);
        respond(
            reply(statusOk, { { "lease", m_store.grantLease(time) }, { "ttl_ms", time.count() } }));
    } else if (path.starts_with(keepPath)) {
        respond(reply(m_store.keepLease(numberAfter(path, keepPath)) ? statusOk : statusNotFound));
    } else if (path.starts_with(endPath)) {
        m_store.endLease(numberAfter(path, endPath));
        respond(reply(statusOk));
    } else {
        respond(reply(statusNotFound));
    }
}

} // namespace cowsliprock::standincell
