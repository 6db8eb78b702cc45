#include "responsereader.h"

#include "chunkframing.h"

#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <utility>

namespace cowsliprock {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t minReadBytes = 512;

} // namespace

void ResponseReader::start()
{
    m_parser.emplace(m_limits);
    m_bytes = 0;
}

boost::asio::mutable_buffer ResponseReader::prepare()
{
    const auto space = m_buffer.max_size() - m_buffer.size();
    const auto allocated = m_buffer.capacity() - m_buffer.size();
    return m_buffer.prepare(std::min(space, std::max(minReadBytes, allocated)));
}

boost::system::error_code ResponseReader::received(std::size_t bytes)
{
    m_buffer.commit(bytes);
    boost::system::error_code error;
    while (!error && !m_parser->is_done() && m_buffer.size() >= minBytesToParse()) {
        const auto used = m_parser->put(m_buffer.data(), error);
        m_buffer.consume(used);
        m_bytes += used;
    }
    if (error && error != http::error::need_more)
        return error;
    if (!m_parser->framingWithinLimits(m_bytes))
        return http::error::body_limit;
    return {};
}

std::size_t ResponseReader::minBytesToParse() const
{
    return m_parser->is_header_done() && m_parser->chunked() ? minChunkedBytes : 1;
}

boost::system::error_code ResponseReader::endOfInput()
{
    if (!m_parser->got_some())
        return http::error::end_of_stream;
    boost::system::error_code error;
    m_parser->put_eof(error);
    return error;
}

HttpResponse ResponseReader::release()
{
    HttpResponse response{ m_parser->status(), std::move(m_parser->body()), false, nullptr };
    m_parser.reset();
    // Idle connections must not keep the memory of their last response.
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    return response;
}

} // namespace cowsliprock
