#include <kernel/serialization.h>

#include <boost/test/unit_test.hpp>

using namespace cowsliprock;
using namespace std::chrono_literals;

namespace {

Envelope sampleEnvelope()
{
    message::Dispatch dispatch;
    dispatch.attempt = AttemptId("a-1");
    dispatch.request.service = "fleetdesk";
    dispatch.request.timeLeft = 250ms;
    dispatch.body = std::string("\x00\xff binary", 9);
    return { { DaemonName("noord-1"), 7 }, dispatch };
}

} // namespace

BOOST_AUTO_TEST_CASE(messageEncodingRoundTrip)
{
    const auto decoded = decodeMessage(encodeMessage(sampleEnvelope()));
    BOOST_REQUIRE(decoded.has_value());
    const auto &dispatch = std::get<message::Dispatch>(decoded.value().message);
    BOOST_TEST(decoded.value().from.incarnation == 7U);
    BOOST_TEST((dispatch.request.timeLeft == 250ms));
    BOOST_TEST(dispatch.body == std::string("\x00\xff binary", 9));
}

// Guards against truncated messages that are accepted as complete.
BOOST_AUTO_TEST_CASE(everyTruncationIsRejected)
{
    const std::string bytes = encodeMessage(sampleEnvelope());
    for (std::size_t length = 0; length < bytes.size(); ++length)
        BOOST_TEST(!decodeMessage(std::string_view(bytes).substr(0, length)).has_value());
}

BOOST_AUTO_TEST_CASE(traceLineEncodingRoundTrip)
{
    event::PeerMessage received{ { DaemonName("zuid-1"), 3 }, message::PromiseReply{ 9, true } };
    const auto decoded = decodeTraceLine(encodeTraceLine({ TimePoint(5s), received }));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((decoded.value().at == TimePoint(5s)));
    const auto &peerMessage = std::get<event::PeerMessage>(decoded.value().event);
    BOOST_TEST(std::get<message::PromiseReply>(peerMessage.message).granted);
}

BOOST_AUTO_TEST_CASE(malformedTraceLineIsRejected)
{
    BOOST_TEST(!decodeTraceLine("{\"at\":1}").has_value());
    BOOST_TEST(!decodeTraceLine("{\"at\":1,\"event\":\"nonsense\",\"data\":{}}").has_value());
}
