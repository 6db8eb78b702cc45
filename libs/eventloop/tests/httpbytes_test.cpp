#include "limitedserver.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace cowsliprock;
using std::chrono::milliseconds;

BOOST_FIXTURE_TEST_SUITE(httpbytes, LimitedServer)

/// Guards against buffering trailers without a bound, with which eight clients filled the memory of
/// a machine.
BOOST_AUTO_TEST_CASE(rejectsEndlessTrailers)
{
    sendEndless(chunkedHead + "1\r\nx\r\n0\r\n", "Trailer: " + std::string(100, 'x') + "\r\n",
                "431");
    BOOST_TEST(exceeded[HttpLimit::HeaderBytes] == 1);
}

/// Guards against a limit that is only checked while a message is incomplete.
BOOST_AUTO_TEST_CASE(rejectsTrailersOverTheLimitThatArriveAtOnce)
{
    std::string answer;
    run([&] {
        RawClient client(port);
        client.send(chunkedHead + "1\r\nx\r\n0\r\nTrailer: " + std::string(headerBytes, 'x')
                    + "\r\n\r\n");
        answer = client.readUntilClosed();
    });
    BOOST_TEST(answer.starts_with("HTTP/1.1 431"));
    BOOST_TEST(received.empty());
}

/// Guards against an assertion of the parser, which ended the process when a client sent the end of
/// an empty chunked body in pieces.
BOOST_AUTO_TEST_CASE(acceptsAnEmptyChunkedBodyInPieces)
{
    std::string answer;
    run([&] {
        RawClient client(port);
        for (const std::string &piece :
             { chunkedHead + "0\r\n", std::string("\r"), std::string("\n") }) {
            client.send(piece);
            RawClient::sleep(milliseconds(50));
        }
        answer = client.readResponse();
    });
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_CASE(acceptsTrailersWithinTheLimit)
{
    std::string answer;
    run([&] {
        RawClient client(port);
        client.send(chunkedHead + "5\r\nhello\r\n0\r\nTrailer: " + std::string(1000, 'x')
                    + "\r\n\r\n");
        answer = client.readResponse();
    });
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
    BOOST_TEST(answer.ends_with("hello"));
}

BOOST_AUTO_TEST_CASE(rejectsAnEndlessRequestLine)
{
    sendEndless("GET /", std::string(1000, 'x'), "431");
}

BOOST_AUTO_TEST_CASE(rejectsAnEndlessHeaderField)
{
    sendEndless("GET / HTTP/1.1\r\nField: ", std::string(1000, 'x'), "431");
}

BOOST_AUTO_TEST_CASE(rejectsEndlessHeaderFields)
{
    sendEndless("GET / HTTP/1.1\r\n", "Field: x\r\n", "431");
}

BOOST_AUTO_TEST_CASE(acceptsAHeaderSectionAtTheLimitAndRejectsALargerOne)
{
    const std::string empty = "Field: \r\n\r\n";
    std::vector<std::string> answers;
    run([&] {
        for (const std::size_t excess : { 0U, 1U }) {
            RawClient client(port);
            client.send("GET /x HTTP/1.1\r\nField: "
                        + std::string(headerBytes - empty.size() + excess, 'x') + "\r\n\r\n");
            answers.push_back(client.readResponse().substr(0, 12));
        }
    });
    BOOST_TEST(answers == (std::vector<std::string>{ "HTTP/1.1 200", "HTTP/1.1 431" }),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(rejectsAnEndlessChunkExtension)
{
    sendEndless(chunkedHead + "1;name=", std::string(1000, 'x'), "431");
}

/// Guards against extensions that are short, but sent with each of many small chunks.
BOOST_AUTO_TEST_CASE(rejectsManyChunkExtensions)
{
    sendEndless(chunkedHead, "1;name=" + std::string(1000, 'x') + "\r\ny\r\n", "400");
    BOOST_TEST(exceeded[HttpLimit::ChunkBytes] == 1);
}

/// Guards against counting the framing of chunks against clients that send small ones.
BOOST_AUTO_TEST_CASE(acceptsABodyInChunksOfOneByte)
{
    std::string answer;
    run([&] {
        std::string chunks;
        for (std::size_t i = 0; i < bodyBytes; ++i)
            chunks += "1\r\nx\r\n";
        RawClient client(port);
        client.send(chunkedHead + chunks + "0\r\n\r\n");
        answer = client.readResponse();
    });
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_CASE(rejectsAnEndlessBody)
{
    sendEndless(chunkedHead, "3e8\r\n" + std::string(1000, 'x') + "\r\n", "413");
    BOOST_TEST(exceeded[HttpLimit::BodyBytes] == 1);
}

BOOST_AUTO_TEST_CASE(rejectsAnotherProtocolAtItsFirstByte)
{
    sendEndless("\x16\x03\x01", "x", "400");
}

/// Guards against the memory of many messages, each within its limit, that are never completed.
BOOST_AUTO_TEST_CASE(limitsTheBytesOfAllConnections)
{
    std::size_t used = 0;
    bool answered = false;
    run([&] {
        std::vector<std::unique_ptr<RawClient>> clients;
        for (int i = 0; i < 16; ++i) {
            clients.push_back(std::make_unique<RawClient>(port));
            clients.back()->send("POST /x HTTP/1.1\r\nContent-Length: 60000\r\n\r\n"
                                 + std::string(50000, 'x'));
        }
        RawClient ordinary(port);
        answered = isAnswered(ordinary);
        used = onLoop([this] { return budget->used(); });
    });
    BOOST_TEST(answered);
    BOOST_TEST(used > 0U);
    BOOST_TEST(used <= totalBytes);
    BOOST_TEST(exceeded[HttpLimit::TotalBytes] > 0);
    BOOST_TEST(received.size() == 1U);
}

/// Guards against bytes that stay accounted for after their connection has ended.
BOOST_AUTO_TEST_CASE(releasesTheBytesOfClosedConnections)
{
    run([&] {
        RawClient(port).send("POST /x HTTP/1.1\r\nContent-Length: 60000\r\n\r\n"
                             + std::string(50000, 'x'));
        RawClient(port).send("GET /x");
        RawClient ordinary(port);
        static_cast<void>(isAnswered(ordinary));
    });
    loop.after(milliseconds(50), [this] { loop.stop(); });
    loop.run();
    BOOST_TEST(budget->used() == 0U);
    BOOST_TEST(server.connections() == 0U);
}

/// Guards against a large response that counts only after it was written.
BOOST_AUTO_TEST_CASE(countsUnsentResponses)
{
    std::string answer;
    run([&] {
        RawClient client(port);
        client.send("GET /large HTTP/1.1\r\nHost: a\r\n\r\n");
        answer = client.readUntilClosed();
    });
    BOOST_TEST(answer.size() < endlessBytes);
    BOOST_TEST(exceeded[HttpLimit::TotalBytes] == 1);
    BOOST_TEST(budget->used() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
