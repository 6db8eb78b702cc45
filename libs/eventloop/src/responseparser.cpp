#include "responseparser.h"

#include "chunkframing.h"

namespace cowsliprock {

namespace http = boost::beast::http;

ResponseParser::ResponseParser(const HttpClientLimits &limits)
    : m_limits(limits)
{
    header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    body_limit(limits.bodyBytes);
}

bool ResponseParser::framingWithinLimits(std::size_t received) const noexcept
{
    // The header section, and the last chunk with the trailers, are limited to headerBytes each.
    return received - m_body.size()
        <= 3 * m_limits.headerBytes + chunkBytesPerBodyByte * m_body.size();
}

void ResponseParser::on_request_impl(http::verb /*verb*/, StringView /*method*/,
                                     StringView /*target*/, int /*version*/, ErrorCode & /*error*/)
{ }

void ResponseParser::on_response_impl(int code, StringView /*reason*/, int /*version*/,
                                      ErrorCode & /*error*/)
{
    m_status = static_cast<unsigned>(code);
}

void ResponseParser::on_field_impl(http::field /*field*/, StringView /*name*/, StringView /*value*/,
                                   ErrorCode & /*error*/)
{ }

void ResponseParser::on_header_impl(ErrorCode & /*error*/) { }

void ResponseParser::on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/,
                                       ErrorCode & /*error*/)
{ }

std::size_t ResponseParser::on_body_impl(StringView body, ErrorCode & /*error*/)
{
    m_body.append(body.data(), body.size());
    return body.size();
}

void ResponseParser::on_chunk_header_impl(std::uint64_t /*size*/, StringView /*extensions*/,
                                          ErrorCode & /*error*/)
{ }

std::size_t ResponseParser::on_chunk_body_impl(std::uint64_t /*remaining*/, StringView body,
                                               ErrorCode & /*error*/)
{
    m_body.append(body.data(), body.size());
    return body.size();
}

void ResponseParser::on_finish_impl(ErrorCode & /*error*/) { }

} // namespace cowsliprock
