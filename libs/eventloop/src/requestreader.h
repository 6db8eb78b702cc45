#pragma once

#include <eventloop/httplimits.h>
#include <eventloop/httpserver.h>

#include <boost/beast/http/basic_parser.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cowsliprock {

/// Why a request is rejected before it reaches the handler.
struct Rejection
{
    unsigned status = 400;
    std::optional<HttpLimit> limit; ///< Not set if the request is malformed.
};

/// Collects the parts of a request that Boost.Beast's parser recognises. Trailers are discarded.
class RequestParser final : public boost::beast::http::basic_parser<true>
{
public:
    [[nodiscard]] HttpRequest &request() noexcept { return m_request; }
    [[nodiscard]] const HttpRequest &request() const noexcept { return m_request; }
    [[nodiscard]] std::size_t headerMemory() const noexcept { return m_headerMemory; }

private:
    using ErrorCode = boost::beast::error_code;
    using StringView = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb verb, StringView method, StringView target,
                         int version, ErrorCode &error) override;
    void on_response_impl(int code, StringView reason, int version, ErrorCode &error) override;
    void on_field_impl(boost::beast::http::field field, StringView name, StringView value,
                       ErrorCode &error) override;
    void on_header_impl(ErrorCode &error) override;
    void on_body_init_impl(const boost::optional<std::uint64_t> &length, ErrorCode &error) override;
    std::size_t on_body_impl(StringView body, ErrorCode &error) override;
    void on_chunk_header_impl(std::uint64_t size, StringView extensions, ErrorCode &error) override;
    std::size_t on_chunk_body_impl(std::uint64_t remaining, StringView body,
                                   ErrorCode &error) override;
    void on_finish_impl(ErrorCode &error) override;

    HttpRequest m_request;
    std::size_t m_headerMemory = 0;
    bool m_headerDone = false;
};

/// Reads one request with bounded memory. The header section is parsed only when it is complete, so
/// that an incomplete one costs no more than its bytes.
class RequestReader
{
public:
    enum class Status { Incomplete, Complete, Rejected };

    explicit RequestReader(const HttpServerLimits &limits)
        : m_limits(limits)
    { }

    /// Result of reading: the number of bytes that need not be presented again.
    struct Progress
    {
        Status status = Status::Incomplete;
        std::size_t consumed = 0;
    };

    /// Reads from \p data, which starts with the bytes that the previous call did not consume.
    [[nodiscard]] Progress read(std::string_view data);

    [[nodiscard]] bool headerDone() const noexcept { return m_parser != nullptr; }
    /// Approximate memory of what was consumed.
    [[nodiscard]] std::size_t memory() const noexcept;
    [[nodiscard]] const Rejection &rejection() const noexcept { return m_rejection; }
    [[nodiscard]] const HttpServerLimits &limits() const noexcept { return m_limits; }

    /// Both may be called after a complete request.
    [[nodiscard]] bool keepAlive() const { return m_parser->keep_alive(); }
    [[nodiscard]] HttpRequest release() { return std::move(m_parser->request()); }

private:
    [[nodiscard]] Progress readHeader(std::string_view data);
    [[nodiscard]] bool scanHeader(std::string_view data);
    [[nodiscard]] bool parseHeader(std::string_view header);
    [[nodiscard]] Progress readBody(std::string_view data, std::size_t consumed);
    [[nodiscard]] bool withinLimits(std::size_t used, std::size_t bodyBefore);
    [[nodiscard]] Progress reject(unsigned status, std::optional<HttpLimit> limit);

    HttpServerLimits m_limits;
    std::unique_ptr<RequestParser> m_parser;
    std::size_t m_scanned = 0;          ///< Bytes of the header section searched for its end.
    std::size_t m_requestLineBytes = 0; ///< 0 until the line is complete.
    std::size_t m_headerEnd = 0;        ///< 0 until the header section is complete.
    std::size_t m_fieldBytes = 0;       ///< Of the header section and the trailers.
    std::size_t m_chunkBytes = 0;       ///< Between the chunks of the body.
    Rejection m_rejection;
};

} // namespace cowsliprock
