#pragma once

#include "connectionregistry.h"
#include "httpservercore.h"
#include "requestreader.h"

#include <eventloop/asio.h>
#include <eventloop/bytebudget.h>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cowsliprock {

/// A client connection, which handles one request at a time. Input is read into the buffer of the
/// server, so that an idle connection holds none.
class HttpSession final : public std::enable_shared_from_this<HttpSession>,
                          public ConnectionRegistry::Entry,
                          public ByteBudget::Holder
{
public:
    HttpSession(std::shared_ptr<HttpServerCore> core, boost::asio::ip::tcp::socket socket);
    ~HttpSession() override;

    void start();

    void expire() override;
    void evict() override;
    void reclaimBytes() override;

private:
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    void waitForInput();
    void inputReady();
    /// Reads once. Returns false if nothing could be read.
    bool readAvailable();
    /// Reads all that the client has sent. Returns whether a request is complete.
    bool readToEnd();
    void endOfInput();
    void handleInput(std::string_view input);
    void startMessage();
    void enterReceiving();
    void finishMessage();
    void handle();
    void reject(const Rejection &rejection);
    void write(HttpServerResponse reply);
    void afterWrite();
    void startNextMessage(ConnectionPhase phase);
    void discardInput();
    void freeUnread();
    void updateBudget();
    void closeFor(HttpLimit limit);
    void close();

    std::shared_ptr<HttpServerCore> m_core;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_unread;                  ///< Received bytes that the reader has not consumed.
    std::optional<RequestReader> m_reader; ///< Set while a request is being received.
    std::optional<Response> m_response;    ///< Set while a response is being written.
    TimePoint m_messageStart{};
    std::size_t m_discarded = 0;
    bool m_waiting = false; ///< For input.
    bool m_keepAlive = true;
    bool m_rejected = false;
    bool m_open = true;
};

} // namespace cowsliprock
