#include <fencedwriter.h>

#include <standincell/storemodel.h>
#include <standincell/virtualtime.h>

#include <boost/test/unit_test.hpp>

#include <functional>
#include <optional>

using namespace cowsliprock;
using namespace cowsliprock::cell;
using namespace cowsliprock::standincell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A store that delays each transaction.
class SlowStore : public StorePort
{
public:
    SlowStore(VirtualTime &time, StoreModel &model, Duration delay)
        : m_time(time)
        , m_model(model)
        , m_delay(delay)
    { }

    void commit(const Transaction &transaction, Done<Result<TransactionOutcome>> done) override
    {
        ++commits;
        m_time.after(m_delay, [this, transaction, done = std::move(done)] {
            done(m_model.commit(transaction));
            if (afterAnswer)
                afterAnswer();
        });
    }

    // Not used by the writer.
    void read(const std::string &, Done<Result<std::optional<StoreItem>>>) override { }
    void list(const std::string &, const std::string &, Done<Result<StorePage>>) override { }
    void watch(const std::string &, std::uint64_t, Duration, Done<Result<StoreEvents>>) override { }
    void grantLease(Duration, Done<Result<std::uint64_t>>) override { }
    void keepLease(std::uint64_t, Done<Result<bool>>) override { }
    void endLease(std::uint64_t) override { }

    std::uint32_t commits = 0;
    std::function<void()> afterAnswer; ///< Called after each reply has been handled.

private:
    VirtualTime &m_time;
    StoreModel &m_model;
    Duration m_delay;
};

struct Fixture
{
    Fixture()
    {
        model.put("owner", "me");
        writer.emplace(store, time, StoreCondition{ "owner", model.read("owner")->revision },
                       [this] { lost = true; });
    }

    VirtualTime time;
    StoreModel model{ time };
    SlowStore store{ time, model, milliseconds(50) };
    bool lost = false;
    std::optional<FencedWriter> writer;
};

} // namespace

BOOST_AUTO_TEST_SUITE(fencedwriter)

// Load: more changes than the store accepts, as after a takeover. A write that a start waits for
// must be durable within two transactions, regardless of the progress writes and removals queued
// before it.
BOOST_FIXTURE_TEST_CASE(awaitedWritesAreSentFirst, Fixture)
{
    for (int number = 0; number < 2000; ++number) {
        writer->remove("a/" + std::to_string(number));
        writer->write("b/" + std::to_string(number), "progress", Urgency::Soon);
    }
    time.run(milliseconds(200));
    std::optional<TimePoint> durable;
    const auto requested = time.now();
    writer->write("z", "note", Urgency::Now, [this, &durable] { durable = time.now(); });
    time.run(seconds(1));
    BOOST_REQUIRE(durable.has_value());
    BOOST_TEST((*durable - requested <= milliseconds(130)));
}

BOOST_FIXTURE_TEST_CASE(endOfAJobIsOneTransaction, Fixture)
{
    writer->write("state", "s", Urgency::Now);
    time.run(seconds(1));
    const auto before = store.commits;
    writer->write("state", "s2", Urgency::Soon);
    writer->writeFinal("ended", "completed", { "job", "state" });
    time.run(seconds(1));
    BOOST_TEST(store.commits - before == 1U);
    BOOST_TEST(model.read("ended").has_value());
    BOOST_TEST(!model.read("state").has_value());
}

// Callbacks of a value that is replaced before it is sent wait for the newer value.
BOOST_FIXTURE_TEST_CASE(replacedWriteNotifiesAllCallbacks, Fixture)
{
    int notified = 0;
    writer->write("k", "1", Urgency::Now, [&notified] { ++notified; });
    writer->write("k", "2", Urgency::Soon, [&notified] { ++notified; });
    writer->whenDurable([&notified] { ++notified; });
    time.run(seconds(1));
    BOOST_TEST(notified == 3);
    BOOST_TEST(model.read("k")->value == "2");
    BOOST_TEST(store.commits == 1U);
}

BOOST_FIXTURE_TEST_CASE(newOwnerStopsTheWriter, Fixture)
{
    model.put("owner", "second owner");
    bool notified = false;
    writer->write("k", "1", Urgency::Now, [&notified] { notified = true; });
    time.run(seconds(1));
    BOOST_TEST(lost);
    BOOST_TEST(!notified);
    BOOST_TEST(!model.read("k").has_value());
}

BOOST_FIXTURE_TEST_CASE(destroyedWriterReportsNoLoss, Fixture)
{
    // Another owner has taken over, and the writer is destroyed because the loss was also detected
    // elsewhere.
    model.put("owner", "other");
    store.afterAnswer = [this] { writer.reset(); };
    writer->write("key", "value", Urgency::Now);
    time.run(seconds(1));
    BOOST_TEST(store.commits == 1U);
    BOOST_TEST(!lost);
}

BOOST_AUTO_TEST_SUITE_END()
