#include "cluster.h"

#include <requests/reasons.h>

#include <boost/test/unit_test.hpp>

using namespace cowsliprock;
using namespace cowsliprock::testing;
using namespace std::chrono_literals;

namespace {

[[nodiscard]] ClusterOptions calm()
{
    ClusterOptions options;
    options.service.name = "plan";
    options.service.slots = 2;
    options.service.expectedServiceTime = 50ms;
    return options;
}

[[nodiscard]] RequestProfile profileOf(bool idempotent, const std::string &key = {})
{
    RequestProfile profile;
    profile.caller = "caller";
    profile.idempotencyKey = key;
    profile.idempotent = idempotent;
    profile.timeLeft = 1s;
    return profile;
}

} // namespace

// Guards against a path (own owner, remote owner, home) on which a request gets no whole answer.
BOOST_AUTO_TEST_CASE(calmClusterAnswersEveryRequestWhole)
{
    Cluster cluster(calm());
    std::vector<std::size_t> sent;
    for (int index = 0; index < 100; ++index) {
        const std::string text = std::to_string(index);
        sent.push_back(cluster.request(cluster.random(4), profileOf(index % 2 == 0, "k" + text),
                                       "content " + text));
        cluster.run(100ms);
    }
    cluster.run(2s);
    for (const std::size_t index : sent) {
        const RequestAnswer &answer = cluster.result(index).answer;
        BOOST_TEST((answer.kind == AnswerKind::Whole),
                   "request " << index << ": " << answer.reason);
    }
    cluster.checkEnd();
}
