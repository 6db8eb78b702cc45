#pragma once

#include "responseparser.h"

#include <eventloop/http.h>
#include <eventloop/httplimits.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>
#include <optional>

namespace cowsliprock {

/// Reads the responses on one connection with bounded memory.
class ResponseReader
{
public:
    explicit ResponseReader(const HttpClientLimits &limits)
        : m_limits(limits)
        , m_buffer(limits.headerBytes)
    { }

    /// Must be called before each response.
    void start();

    /// Returns space for received bytes. It is empty if a limit is exceeded.
    [[nodiscard]] boost::asio::mutable_buffer prepare();

    /// Parses \p bytes that were written to the space.
    [[nodiscard]] boost::system::error_code received(std::size_t bytes);

    /// Handles the end of the connection, which is also the end of a response without a length.
    [[nodiscard]] boost::system::error_code endOfInput();

    [[nodiscard]] bool done() const { return m_parser->is_done(); }
    [[nodiscard]] std::size_t memory() const { return m_parser ? m_parser->memory() : 0; }
    /// Bytes of the current response.
    [[nodiscard]] std::size_t bytes() const noexcept { return m_bytes; }

    /// Both may be called once a response is done, the second one once.
    [[nodiscard]] bool reusable() const { return m_parser->keep_alive() && m_buffer.size() == 0; }
    [[nodiscard]] HttpResponse release();

private:
    [[nodiscard]] std::size_t minBytesToParse() const;

    HttpClientLimits m_limits;
    /// The parser consumes trailers and chunk extensions only when they are complete, and has no
    /// limit for them, so the buffer is limited.
    boost::beast::flat_buffer m_buffer;
    std::optional<ResponseParser> m_parser;
    std::size_t m_bytes = 0;
};

} // namespace cowsliprock
