#include "peerrequesthandler.h"

#include "relaymessages.h"

#include <base/parsenumber.h>

#include <string_view>
#include <utility>

namespace cowsliprock::cell {

namespace {

/// Returns the part of \p path after \p prefix, or nullopt if \p path does not start with it.
std::optional<std::string> stripPrefix(const std::string &path, std::string_view prefix)
{
    if (!path.starts_with(prefix))
        return std::nullopt;
    return path.substr(prefix.size());
}

} // namespace

PeerRequestHandler::PeerRequestHandler(const Services &services, Shards shards)
    : m_services(services)
    , m_shards(std::move(shards))
{ }

void PeerRequestHandler::handle(const std::string &method, const std::string &path,
                                const std::string &body, const Done<PeerAnswer> &done)
{
    if (method == "GET")
        get(path, done);
    else if (method == "POST")
        post(path, body, done);
    else
        done({ statusBadRequest, "{}" });
}

void PeerRequestHandler::get(const std::string &path, const Done<PeerAnswer> &done)
{
    if (const auto id = stripPrefix(path, "/peer/job/")) {
        const Shard *shard = m_shards.ofJob(*id);
        if (shard == nullptr)
            done({ statusUnavailable, "{}" });
        else
            done({ statusOk, encodeStatus(shard->scheduler().status(*id)) });
    } else if (const auto rest = stripPrefix(path, "/peer/pending/")) {
        pending(*rest, done);
    } else {
        done({ statusNotFound, "{}" });
    }
}

void PeerRequestHandler::pending(const std::string &rest, const Done<PeerAnswer> &done)
{
    const auto slash = rest.find('/');
    const auto number = parseNumber<std::uint64_t>(std::string_view(rest).substr(0, slash));
    const Shard *shard = slash == std::string::npos || !number
        ? nullptr
        : m_shards.byNumber(static_cast<std::uint32_t>(*number));
    if (shard == nullptr)
        done({ statusUnavailable, "{}" });
    else
        done({ statusOk, encodeCount(shard->scheduler().pending(rest.substr(slash + 1))) });
}

void PeerRequestHandler::post(const std::string &path, const std::string &body,
                              const Done<PeerAnswer> &done)
{
    if (path == "/peer/advise") {
        advise(body, done);
    } else if (path == "/peer/relay") {
        relay(body, done);
    } else if (path == "/peer/store") {
        store(body, done);
    } else if (const auto shard = stripPrefix(path, "/peer/accepted/")) {
        accepted(*shard, body, done);
    } else if (const auto promised = stripPrefix(path, "/peer/promise/")) {
        promise(*promised, body, done);
    } else if (const auto cancelled = stripPrefix(path, "/peer/cancelled/")) {
        m_shards.cancelled(*cancelled);
        done({ statusOk, "{}" });
    } else {
        done({ statusNotFound, "{}" });
    }
}

void PeerRequestHandler::advise(const std::string &body, const Done<PeerAnswer> &done)
{
    const auto question = decodePeerAdviceRequest(body);
    if (!question) {
        done({ statusBadRequest, "{}" });
        return;
    }
    m_services.advice.advise(question->step, question->workers, question->timeout,
                             [done](const Result<Advice> &answer) {
                                 if (answer.has_value())
                                     done({ statusOk, encode(answer.value()) });
                                 else
                                     done({ statusUnavailable, "{}" });
                             });
}

void PeerRequestHandler::relay(const std::string &body, const Done<PeerAnswer> &done)
{
    if (const auto batch = decodeRelayBatch(body))
        m_services.relay.handle(*batch, done);
    else
        done({ statusBadRequest, "{}" });
}

void PeerRequestHandler::accepted(const std::string &number, const std::string &body,
                                  const Done<PeerAnswer> &done)
{
    const auto shard = parseNumber<std::uint32_t>(number);
    const auto reply = decodeStoreReply(body);
    const auto *item = reply ? std::get_if<std::optional<StoreItem>>(&*reply) : nullptr;
    if (!shard || item == nullptr || !*item) {
        done({ statusBadRequest, "{}" });
        return;
    }
    const auto answer = m_shards.accepted(*shard, **item);
    if (answer)
        done({ statusOk, encode(*answer) });
    else
        done({ statusUnavailable, "{}" });
}

void PeerRequestHandler::store(const std::string &body, const Done<PeerAnswer> &done)
{
    const auto call = decodeStoreCall(body);
    if (!call) {
        done({ statusBadRequest, "{}" });
        return;
    }
    m_services.store.serve(*call, [done](const Result<StoreReply> &reply) {
        if (reply.has_value())
            done({ statusOk, encode(reply.value()) });
        else
            done({ mayHaveTakenEffect(reply.error()) ? statusTimeout : statusUnavailable, "{}" });
    });
}

void PeerRequestHandler::promise(const std::string &number, const std::string &body,
                                 const Done<PeerAnswer> &done)
{
    const auto shard = parseNumber<std::uint32_t>(number);
    const auto request = decodePromiseRequest(body);
    if (!shard || *shard >= m_shards.count || !request) {
        done({ statusBadRequest, "{}" });
        return;
    }
    if (const auto promised = m_shards.promise(*shard, request->ownershipRevision))
        done({ statusOk, encode(*promised) });
    else
        done({ statusConflict, "{}" });
}

} // namespace cowsliprock::cell
