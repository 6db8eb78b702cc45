#include "responsereader.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstring>
#include <random>
#include <string>
#include <string_view>

using namespace cowsliprock;

namespace {

const std::string emptyChunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
const std::string trailers = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "3;x=y\r\nabc\r\n1\r\nd\r\n0\r\nT: 1\r\n\r\n";

/// Presents \p text in pieces of at most \p maxPiece bytes. Returns whether a response was read.
bool readInPieces(ResponseReader &reader, std::string_view text, std::size_t maxPiece)
{
    reader.start();
    while (!text.empty() && !reader.done()) {
        const auto space = reader.prepare();
        const auto size = std::min({ maxPiece, text.size(), space.size() });
        if (size == 0)
            return false;
        std::memcpy(space.data(), text.data(), size);
        text.remove_prefix(size);
        if (reader.received(size))
            return false;
    }
    return reader.done();
}

} // namespace

BOOST_AUTO_TEST_SUITE(responsereader)

/// Guards against an assertion of the parser that a peer could trigger by splitting the last chunk.
BOOST_AUTO_TEST_CASE(readsChunkedResponsesInPiecesOfAnySize)
{
    ResponseReader reader{ HttpClientLimits() };
    for (std::size_t maxPiece = 1; maxPiece < 100; ++maxPiece) {
        BOOST_TEST(readInPieces(reader, emptyChunked, maxPiece));
        BOOST_TEST(reader.release().body.empty());
        BOOST_TEST(readInPieces(reader, trailers, maxPiece));
        BOOST_TEST(reader.release().body == "abcd");
    }
}

/// Guards against input that stops the process.
BOOST_AUTO_TEST_CASE(survivesCorruptedResponses)
{
    static constexpr std::string_view bytes = "\r\n\r\n;:= 0159aF\x01\xff";
    std::mt19937 random(3);
    for (int round = 0; round < 20000; ++round) {
        auto text = random() % 2 == 0 ? emptyChunked : trailers;
        for (int change = 0; change < 3; ++change)
            text[random() % text.size()] = bytes[random() % bytes.size()];
        ResponseReader reader{ HttpClientLimits() };
        static_cast<void>(readInPieces(reader, text, 1 + random() % 20));
    }
}

BOOST_AUTO_TEST_SUITE_END()
