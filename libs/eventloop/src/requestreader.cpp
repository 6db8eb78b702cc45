#include "requestreader.h"

#include "chunkframing.h"

#include <boost/beast/http/error.hpp>

#include <limits>

namespace cowsliprock {

namespace http = boost::beast::http;

namespace {

/// Memory of a header in addition to its bytes: two strings and their allocations.
constexpr std::size_t headerOverheadBytes = 128;

/// Whether a request may start with \p character. Rejects other protocols at their first byte.
bool startsRequest(char character)
{
    return character > ' ' && character < 0x7F;
}

} // namespace

void RequestParser::on_request_impl(http::verb /*verb*/, StringView method, StringView target,
                                    int /*version*/, ErrorCode & /*error*/)
{
    m_request.method = std::string(method);
    m_request.target = std::string(target);
}

void RequestParser::on_response_impl(int /*code*/, StringView /*reason*/, int /*version*/,
                                     ErrorCode & /*error*/)
{ }

void RequestParser::on_field_impl(http::field /*field*/, StringView name, StringView value,
                                  ErrorCode & /*error*/)
{
    if (m_headerDone)
        return;
    m_request.headers.emplace_back(std::string(name), std::string(value));
    m_headerMemory += name.size() + value.size() + headerOverheadBytes;
}

void RequestParser::on_header_impl(ErrorCode & /*error*/)
{
    m_headerDone = true;
    m_request.host = m_request.header("Host").value_or("");
}

void RequestParser::on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/,
                                      ErrorCode & /*error*/)
{ }

std::size_t RequestParser::on_body_impl(StringView body, ErrorCode & /*error*/)
{
    m_request.body.append(body.data(), body.size());
    return body.size();
}

void RequestParser::on_chunk_header_impl(std::uint64_t /*size*/, StringView /*extensions*/,
                                         ErrorCode & /*error*/)
{ }

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t /*remaining*/, StringView body,
                                              ErrorCode & /*error*/)
{
    m_request.body.append(body.data(), body.size());
    return body.size();
}

void RequestParser::on_finish_impl(ErrorCode & /*error*/) { }

RequestReader::Progress RequestReader::read(std::string_view data)
{
    return headerDone() ? readBody(data, 0) : readHeader(data);
}

std::size_t RequestReader::memory() const noexcept
{
    if (!m_parser)
        return 0;
    const auto &request = m_parser->request();
    return sizeof(RequestParser) + request.target.size() + request.body.capacity()
        + m_parser->headerMemory();
}

RequestReader::Progress RequestReader::readHeader(std::string_view data)
{
    if (!scanHeader(data))
        return reject(400, std::nullopt);
    const std::size_t end = m_headerEnd > 0 ? m_headerEnd : data.size();
    const std::size_t lineBytes = m_requestLineBytes > 0 ? m_requestLineBytes : end;
    if (lineBytes > m_limits.headerBytes || end - lineBytes > m_limits.headerBytes)
        return reject(431, HttpLimit::HeaderBytes);
    if (m_headerEnd == 0)
        return {};
    m_fieldBytes = end - lineBytes;
    if (!parseHeader(data.substr(0, m_headerEnd)))
        return { Status::Rejected, 0 };
    return readBody(data, m_headerEnd);
}

/// Looks for the end of the request line and of the header section. Returns false if the request is
/// malformed.
bool RequestReader::scanHeader(std::string_view data)
{
    if (!data.empty() && !startsRequest(data.front()))
        return false;
    while (m_headerEnd == 0) {
        const auto newline = data.find('\n', m_scanned);
        if (newline == std::string_view::npos) {
            m_scanned = data.size();
            return true;
        }
        if (newline == 0 || data[newline - 1] != '\r')
            return false;
        m_scanned = newline + 1;
        if (m_requestLineBytes == 0)
            m_requestLineBytes = m_scanned;
        else if (data[newline - 2] == '\n')
            m_headerEnd = m_scanned;
    }
    return true;
}

bool RequestReader::parseHeader(std::string_view header)
{
    m_parser = std::make_unique<RequestParser>();
    // The size was checked.
    m_parser->header_limit(std::numeric_limits<std::uint32_t>::max());
    m_parser->body_limit(m_limits.bodyBytes);
    m_parser->eager(false);
    boost::beast::error_code error;
    const auto used = m_parser->put({ header.data(), header.size() }, error);
    if (error == http::error::body_limit)
        m_rejection = { 413, HttpLimit::BodyBytes };
    else if (error || used != header.size() || !m_parser->is_header_done())
        m_rejection = { 400, std::nullopt };
    else
        return true;
    return false;
}

RequestReader::Progress RequestReader::readBody(std::string_view data, std::size_t consumed)
{
    while (!m_parser->is_done() && consumed < data.size()) {
        const auto rest = data.substr(consumed);
        if (m_parser->chunked() && rest.size() < minChunkedBytes)
            break;
        const auto bodyBefore = m_parser->request().body.size();
        boost::beast::error_code error;
        const auto used = m_parser->put({ rest.data(), rest.size() }, error);
        consumed += used;
        if (error == http::error::body_limit)
            return reject(413, HttpLimit::BodyBytes);
        if (error && error != http::error::need_more)
            return reject(400, std::nullopt);
        if (!withinLimits(used, bodyBefore))
            return { Status::Rejected, consumed };
        if (error != http::error::need_more)
            continue;
        // An incomplete line of a chunk, or the last one and incomplete trailers.
        if (m_fieldBytes + data.size() - consumed > m_limits.headerBytes)
            return reject(431, HttpLimit::HeaderBytes);
        break;
    }
    return { m_parser->is_done() ? Status::Complete : Status::Incomplete, consumed };
}

/// Checks what the parser has consumed besides the body.
bool RequestReader::withinLimits(std::size_t used, std::size_t bodyBefore)
{
    const auto bodyBytes = m_parser->request().body.size();
    const auto otherBytes = used - (bodyBytes - bodyBefore);
    if (m_fieldBytes + otherBytes > m_limits.headerBytes) {
        m_rejection = { 431, HttpLimit::HeaderBytes };
        return false;
    }
    m_chunkBytes += otherBytes;
    if (m_chunkBytes > m_limits.headerBytes + chunkBytesPerBodyByte * bodyBytes) {
        m_rejection = { 400, HttpLimit::ChunkBytes };
        return false;
    }
    return true;
}

RequestReader::Progress RequestReader::reject(unsigned status, std::optional<HttpLimit> limit)
{
    m_rejection = { status, limit };
    return { Status::Rejected, 0 };
}

} // namespace cowsliprock
