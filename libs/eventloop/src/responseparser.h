#pragma once

#include <eventloop/httplimits.h>

#include <boost/beast/http/basic_parser.hpp>

#include <cstddef>
#include <string>

namespace cowsliprock {

/// Collects the status and the body of a response. Header fields and trailers are discarded.
class ResponseParser final : public boost::beast::http::basic_parser<false>
{
public:
    explicit ResponseParser(const HttpClientLimits &limits);

    [[nodiscard]] unsigned status() const noexcept { return m_status; }
    [[nodiscard]] std::string &body() noexcept { return m_body; }
    [[nodiscard]] std::size_t memory() const noexcept { return m_body.capacity(); }

    /// Whether what a peer sent besides the body is acceptable. \p received counts all bytes of the
    /// response.
    [[nodiscard]] bool framingWithinLimits(std::size_t received) const noexcept;

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

    HttpClientLimits m_limits;
    unsigned m_status = 0;
    std::string m_body;
};

} // namespace cowsliprock
