#include "requestreader.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <string_view>
#include <vector>

using namespace cowsliprock;

namespace {

using Status = RequestReader::Status;

constexpr std::size_t headerBytes = 300;
constexpr std::size_t bodyBytes = 200;

HttpServerLimits testLimits()
{
    HttpServerLimits limits;
    limits.headerBytes = headerBytes;
    limits.bodyBytes = bodyBytes;
    return limits;
}

struct Outcome
{
    Status status = Status::Incomplete;
    unsigned rejectedWith = 0;
    std::string body;
    std::size_t rest = 0; ///< Bytes after a complete request.

    bool operator==(const Outcome &) const = default;
};

/// Presents \p text in pieces of at most \p maxPiece bytes, as a session does.
Outcome readInPieces(std::string_view text, std::size_t maxPiece, std::mt19937 &random)
{
    RequestReader reader(testLimits());
    std::string unread;
    Outcome outcome;
    while (!text.empty() && outcome.status == Status::Incomplete) {
        const auto size = std::min<std::size_t>(1 + random() % maxPiece, text.size());
        unread += text.substr(0, size);
        text.remove_prefix(size);
        const auto progress = reader.read(unread);
        unread.erase(0, progress.consumed);
        outcome.status = progress.status;
        // The request line and the header section, each at its limit, and the last piece.
        if (outcome.status == Status::Incomplete)
            BOOST_REQUIRE(unread.size() <= 2 * headerBytes + maxPiece);
    }
    if (outcome.status == Status::Rejected)
        outcome.rejectedWith = reader.rejection().status;
    if (outcome.status == Status::Complete) {
        outcome.body = reader.release().body;
        outcome.rest = unread.size() + text.size();
    }
    return outcome;
}

std::string mutated(std::string text, std::mt19937 &random)
{
    static constexpr std::string_view bytes = "\r\n\r\n;:= 0159aF\x01\xff";
    for (auto changes = random() % 4; changes > 0; --changes) {
        const auto position = random() % text.size();
        switch (random() % 3) {
        case 0:
            text[position] = bytes[random() % bytes.size()];
            break;
        case 1:
            text.insert(position, 1, bytes[random() % bytes.size()]);
            break;
        default:
            text.erase(position, 1);
        }
        if (text.empty())
            return "x";
    }
    return text;
}

const std::string chunkedHead = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

const std::vector<std::string> requests{
    "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b",
    "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhelloGET",
    chunkedHead + "3\r\nabc\r\n2;x=\"y\"\r\nde\r\n0\r\n\r\nG",
    chunkedHead + "0\r\n\r\n",
    chunkedHead + "1\r\na\r\n0;e\r\nT: 1\r\nU: 2\r\n\r\n",
};

} // namespace

BOOST_AUTO_TEST_SUITE(requestreader)

BOOST_AUTO_TEST_CASE(readsARequestInPiecesOfAnySize)
{
    std::mt19937 random(1);
    const std::vector<std::string> bodies{ "", "hello", "abcde", "", "a" };
    const std::vector<std::size_t> rests{ 6, 3, 1, 0, 0 };
    for (std::size_t index = 0; index < requests.size(); ++index) {
        for (std::size_t maxPiece = 1; maxPiece < 80; ++maxPiece) {
            const auto outcome = readInPieces(requests[index], maxPiece, random);
            BOOST_TEST((outcome == Outcome{ Status::Complete, 0, bodies[index], rests[index] }));
        }
    }
}

/// Guards against requests whose meaning depends on how the network splits them, against buffering
/// beyond the limits, and against input that stops the process.
BOOST_AUTO_TEST_CASE(readsCorruptedRequestsTheSameWayInPieces)
{
    std::mt19937 random(2);
    for (int round = 0; round < 20000; ++round) {
        const auto text = mutated(requests[random() % requests.size()], random);
        const auto whole = readInPieces(text, 1, random);
        const auto pieces = readInPieces(text, 40, random);
        if (whole.status == Status::Complete || pieces.status == Status::Complete)
            BOOST_REQUIRE_MESSAGE(whole == pieces, text);
    }
}

BOOST_AUTO_TEST_SUITE_END()
