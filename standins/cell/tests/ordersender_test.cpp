#include <ordersender.h>

#include <standincell/virtualtime.h>

#include <boost/test/unit_test.hpp>

#include <optional>
#include <vector>

using namespace cowsliprock;
using namespace cowsliprock::cell;
using namespace cowsliprock::standincell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Workers that never reply.
class SilentWorkers : public WorkerPort
{
public:
    explicit SilentWorkers(VirtualTime &time)
        : m_time(time)
    { }

    void start(const WorkerTarget &, const StartOrder &, const OrderCall &call,
               Done<Result<OrderOutcome>> done) override
    {
        starts.push_back(m_time.now());
        m_time.after(call.timeout, [done = std::move(done)] {
            done(Error{ ErrorKind::Timeout, "worker.start", "w", "no answer" });
        });
    }
    void stop(const WorkerTarget &, const StopOrder &, const OrderCall &,
              Done<Result<OrderOutcome>>) override
    { }
    void inventory(const WorkerTarget &, const InventoryRequest &,
                   Done<Result<InventoryOutcome>>) override
    { }

    std::vector<TimePoint> starts;

private:
    VirtualTime &m_time;
};

struct SenderFixture
{
    void start()
    {
        sender.start(
            {}, {}, [this] { return wanted; },
            [this](const StartOutcome &result) { outcome = result; });
    }

    VirtualTime time;
    SilentWorkers workers{ time };
    ResponseTimes answerTimes;
    OrderSender sender{ workers, time, answerTimes };
    bool wanted = true;
    std::optional<StartOutcome> outcome;
};

} // namespace

/// Retries of start orders.
BOOST_FIXTURE_TEST_SUITE(ordersender, SenderFixture)

BOOST_AUTO_TEST_CASE(firstRepetitionComesSooner)
{
    start();
    time.run(seconds(3));
    BOOST_REQUIRE(workers.starts.size() == 4U);
    BOOST_TEST((workers.starts.at(1) - workers.starts.at(0) == milliseconds(150)));
    BOOST_TEST((workers.starts.at(2) - workers.starts.at(1) == milliseconds(300)));
    BOOST_REQUIRE(outcome);
    BOOST_TEST(std::holds_alternative<StartUnknown>(*outcome));
}

BOOST_AUTO_TEST_CASE(unwantedStartIsNotRepeated)
{
    start();
    time.run(milliseconds(100));
    wanted = false;
    time.run(seconds(3));
    BOOST_TEST(workers.starts.size() == 1U);
    // The worker may have executed it.
    BOOST_REQUIRE(outcome);
    BOOST_TEST(std::holds_alternative<StartUnknown>(*outcome));
}

BOOST_AUTO_TEST_SUITE_END()
