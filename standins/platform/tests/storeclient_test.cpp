#include <kernel/serialization.h>
#include <platform/storeclient.h>
#include <platform/vmlistclient.h>
#include <standinplatform/platformserver.h>

#include <boost/test/unit_test.hpp>

#include <future>
#include <thread>

using namespace cowsliprock;
using namespace std::chrono_literals;
using event::StoreStatus;
using Operation = effect::StoreCall::Operation;

namespace {

struct PlatformFixture
{
    standin::PlatformServer server{ {} };
    int port = server.listen().value();
    Clock clock;
    std::vector<Error> errors;
    StoreClient store{ settings("client"), clock };

    StoreClientSettings settings(const std::string &name)
    {
        StoreClientSettings result;
        result.address = "127.0.0.1:" + std::to_string(port);
        result.clientName = name;
        result.watchTimeout = 200ms;
        result.onError = [this](const Error &error) { errors.push_back(error); };
        return result;
    }

    event::StoreReply put(const std::string &key, std::uint64_t version, const std::string &value)
    {
        return store.execute({ CallId("c"), Operation::CompareAndSwap, key, version, value });
    }
    event::StoreReply get(const std::string &key)
    {
        return store.execute({ CallId("c"), Operation::Get, key, 0, {} });
    }
    event::StoreReply watch(const std::string &key, std::uint64_t version)
    {
        return store.execute({ CallId("c"), Operation::Watch, key, version, {} });
    }
    void post(const std::string &path, const std::string &body) const
    {
        httplib::Client client("127.0.0.1", port);
        BOOST_REQUIRE(client.Post(path, body, "application/json")->status == 200);
    }
    std::string read(const std::string &path) const
    {
        return httplib::Client("127.0.0.1", port).Get(path)->body;
    }
};

} // namespace

// Guards against overwriting a newer version, and against keys or values altered by encoding.
BOOST_FIXTURE_TEST_CASE(compareAndSwapRequiresExpectedVersion, PlatformFixture)
{
    const std::string key = "/daemons/a&b=c d+%2F";
    const std::string value = "{\"text\":\"één\\n\"}";
    BOOST_TEST((get(key).status == StoreStatus::NotFound));
    BOOST_TEST(put(key, 0, value).version == 1U);
    const event::StoreReply conflict = put(key, 0, "other");
    BOOST_TEST((conflict.status == StoreStatus::Conflict));
    BOOST_TEST(conflict.version == 1U);
    BOOST_TEST(conflict.value == value);
    BOOST_TEST((put(key, 1, "").status == StoreStatus::Ok));
    BOOST_TEST(put("/daemons/zz", 0, "z").version == 1U);
    const auto list = store.execute({ CallId("c"), Operation::List, "/daemons/a", 0, {} });
    BOOST_REQUIRE(list.rows.size() == 1U);
    BOOST_TEST(list.rows[0].key == key);
    BOOST_TEST(list.rows[0].version == 2U);
    BOOST_TEST(errors.empty());
}

// Guards against reporting a lost reply as a definite result. The write itself has taken effect.
BOOST_FIXTURE_TEST_CASE(lostReplyIsUnavailable, PlatformFixture)
{
    post("/v1/faults", R"({"loseReplies": 1})");
    const TimePoint before = clock.now();
    const event::StoreReply lost = put("k", 0, "mine");
    BOOST_TEST((lost.status == StoreStatus::Unavailable));
    BOOST_TEST((lost.sentAt >= before));
    BOOST_TEST(get("k").value == "mine");
    BOOST_TEST(get("k").version == 1U);
    BOOST_REQUIRE(errors.size() == 1U);
    BOOST_TEST(errors[0].step == "store.compareAndSwap");
}

// Guards against a watch that misses a change, or that times out without a reply.
BOOST_FIXTURE_TEST_CASE(watchEndsOnChangeOrTimeout, PlatformFixture)
{
    const event::StoreReply unchanged = watch("k", 0);
    BOOST_TEST((unchanged.status == StoreStatus::Ok));
    BOOST_TEST(unchanged.version == 0U);
    StoreClientSettings longWatch = settings("client");
    longWatch.watchTimeout = 20s;
    StoreClient watcher(longWatch, clock);
    auto changed = std::async(std::launch::async, [&] {
        return watcher.execute({ CallId("w"), Operation::Watch, "k", 0, {} });
    });
    BOOST_TEST((changed.wait_for(50ms) == std::future_status::timeout));
    BOOST_TEST((put("k", 0, "new").status == StoreStatus::Ok));
    BOOST_TEST(changed.get().value == "new");
}

// Guards against a pending watch that delays process shutdown until its timeout.
BOOST_FIXTURE_TEST_CASE(cancelEndsPendingWatch, PlatformFixture)
{
    StoreClientSettings longWatch = settings("client");
    longWatch.watchTimeout = 20s;
    StoreClient watcher(longWatch, clock);
    auto waiting = std::async(std::launch::async, [&] {
        return watcher.execute({ CallId("w"), Operation::Watch, "k", 0, {} });
    });
    BOOST_TEST((waiting.wait_for(50ms) == std::future_status::timeout));
    watcher.cancel();
    BOOST_TEST((waiting.wait_for(5s) == std::future_status::ready));
    BOOST_TEST((waiting.get().status == StoreStatus::Unavailable));
}

// Guards against an outage for one client that affects another, or that does not end a pending
// watch.
BOOST_FIXTURE_TEST_CASE(outageAffectsOnlyNamedClients, PlatformFixture)
{
    StoreClient other(settings("other"), clock);
    auto waiting = std::async(std::launch::async, [&] { return watch("k", 0); });
    post("/v1/faults", R"({"outageFor": ["client"]})");
    BOOST_TEST((waiting.get().status == StoreStatus::Unavailable));
    BOOST_TEST((get("k").status == StoreStatus::Unavailable));
    const effect::StoreCall call{ CallId("c"), Operation::Get, "k", 0, {} };
    BOOST_TEST((other.execute(call).status == StoreStatus::NotFound));
    post("/v1/faults", R"({"outageFor": [], "outage": true})");
    BOOST_TEST((other.execute(call).status == StoreStatus::Unavailable));
    server.stop();
    BOOST_TEST((other.execute(call).status == StoreStatus::Unavailable));
}

// Guards against rows that outlive their time to live, and against reusing a version.
BOOST_AUTO_TEST_CASE(expiredRowKeepsVersionCounter)
{
    standin::KeyValueStore store;
    const auto written = store.compareAndSwap("k", 0, "v", 30ms);
    BOOST_TEST(written.present.version == 1U);
    const auto expired =
        store.watch("k", 1, std::chrono::steady_clock::now() + 20s, [] { return false; });
    BOOST_TEST(expired.version == 0U);
    BOOST_TEST(store.list("").empty());
    BOOST_TEST(store.compareAndSwap("k", 0, "w", {}).present.version == 2U);
}

// Guards against statistics that omit a call. Tests that bound the number of calls rely on them.
BOOST_FIXTURE_TEST_CASE(callsAreCountedByClientAndOperation, PlatformFixture)
{
    static_cast<void>(get("k"));
    static_cast<void>(put("k", 0, "v"));
    static_cast<void>(watch("k", 0));
    BOOST_TEST(read("/v1/stats").find(R"("client":{"get":1,"put":1,"watch":1})")
               != std::string::npos);
}

// Guards against a VM list whose changes become visible before the delay has passed, or never.
BOOST_AUTO_TEST_CASE(vmListIsDelayed)
{
    standin::PlatformOptions options;
    options.vmListDelay = 300ms;
    standin::PlatformServer server(options);
    Clock clock;
    const int port = server.listen().value();
    VmListClient client({ "127.0.0.1:" + std::to_string(port), "client" }, clock);
    httplib::Client httpClient("127.0.0.1", port);
    const std::string entry = encodeVm({ "w1", "worker", "127.0.0.1:1", {}, true });
    BOOST_TEST(httpClient.Post("/v1/vms", entry, "application/json")->status == 200);
    BOOST_TEST(client.fetch().value().entries.empty());
    std::this_thread::sleep_for(310ms);
    const auto seen = client.fetch();
    BOOST_REQUIRE(seen.value().entries.size() == 1U);
    BOOST_TEST(seen.value().entries[0].leaving);
}
