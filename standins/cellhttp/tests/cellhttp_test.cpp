#include <standincellhttp/adviceserver.h>
#include <standincellhttp/storeserver.h>
#include <standincellhttp/workerserver.h>

#include <adviceclient.h>
#include <storeclient.h>
#include <workerclient.h>

#include <eventloop/eventloop.h>
#include <eventloop/httpclient.h>

#include <boost/test/unit_test.hpp>

#include <optional>

using namespace cowsliprock;
using namespace cowsliprock::cell;
using namespace cowsliprock::standincell;
using namespace std::chrono_literals;

namespace {

const SocketAddress anyPort{ "127.0.0.1", 0 };
constexpr auto adviceTimeout = 5s;

/// Runs the event loop until a call has completed.
template <typename T>
class Answer
{
public:
    explicit Answer(EventLoop &loop)
        : m_loop(loop)
    { }

    [[nodiscard]] auto done()
    {
        return [this](T answer) {
            m_answer = std::move(answer);
            m_loop.stop();
        };
    }

    [[nodiscard]] const T &wait()
    {
        m_loop.run();
        BOOST_REQUIRE(m_answer.has_value());
        return *m_answer;
    }

private:
    EventLoop &m_loop;
    std::optional<T> m_answer;
};

struct StartCounter : WorkerObserver
{
    void started(const std::string & /*worker*/, const TaskId & /*task*/, std::uint32_t /*run*/,
                 const Resources & /*heldBefore*/, const Resources & /*capacity*/) override
    {
        ++starts;
    }
    void ended(const std::string & /*worker*/, const FinishedTask & /*end*/) override { }
    void acknowledged(const std::string & /*worker*/, const FinishedTask & /*end*/) override { }
    void capacityChanged(const std::string & /*worker*/, const Resources & /*former*/) override { }
    void crashed(const std::string & /*worker*/) override { }
    int starts = 0;
};

/// A worker whose tasks take \p work, behind its HTTP interface.
struct WorkerOverHttp
{
    explicit WorkerOverHttp(Duration work)
        : model(
            loop, settings(),
            [work](const TaskId &) {
                return TaskPlan{ {}, work };
            },
            observer)
        , target{ settings().id, server.listen(anyPort).value().text(), "z" }
    { }

    static WorkerModel::Settings settings()
    {
        WorkerModel::Settings result;
        result.id = "w1";
        return result;
    }

    EventLoop loop;
    StartCounter observer;
    WorkerModel model;
    WorkerServer server{ loop, model, 1, [](const auto &, const auto &) { return true; } };
    HttpClient http{ loop };
    platform::WorkerClient client{ http };
    WorkerTarget target;
};

struct StoreFixture
{
    StoreFixture() { client.emplace(http, server.listen(anyPort).value()); }

    /// Commits \p transaction and waits for the result.
    Result<TransactionOutcome> commit(const Transaction &transaction)
    {
        Answer<Result<TransactionOutcome>> answer(loop);
        client->commit(transaction, answer.done());
        return answer.wait();
    }

    EventLoop loop;
    StoreModel model{ loop };
    StoreServer server{ loop, model, 1 };
    HttpClient http{ loop };
    std::optional<platform::StoreClient> client;
};

} // namespace

// Guards against differences between the wire formats of this server and of the client.
BOOST_FIXTURE_TEST_CASE(conditionOnAMissingKeyHoldsOnce, StoreFixture)
{
    Transaction create;
    create.conditions.push_back({ "k/1", 0 });
    create.writes.push_back({ "k/1", std::string("a\0b", 3), 0 });
    BOOST_TEST(std::holds_alternative<Committed>(commit(create).value()));
    const auto again = commit(create);
    const auto *failed = std::get_if<ConditionFailed>(&again.value());
    BOOST_REQUIRE(failed != nullptr);
    BOOST_REQUIRE(failed->present.size() == 1U);
    BOOST_TEST(failed->present.front().value == std::string("a\0b", 3));
}

BOOST_FIXTURE_TEST_CASE(watchReportsAChange, StoreFixture)
{
    Answer<Result<StoreEvents>> answer(loop);
    client->watch("k/", model.revision(), 1s, answer.done());
    loop.after(20ms, [this] { model.put("k/2", "v"); });
    const auto &events = answer.wait();
    BOOST_REQUIRE(events.has_value());
    BOOST_REQUIRE(events.value().events.size() == 1U);
    BOOST_TEST(events.value().events.front().item.key == "k/2");
}

BOOST_FIXTURE_TEST_CASE(lostAnswerLeavesTheWriteInPlace, StoreFixture)
{
    server.setFault(StoreFault::LoseReply);
    Transaction write;
    write.writes.push_back({ "k/3", "v", 0 });
    const auto outcome = commit(write);
    BOOST_REQUIRE(!outcome.has_value());
    BOOST_TEST(mayHaveTakenEffect(outcome.error()));
    BOOST_TEST(model.read("k/3").has_value());
}

BOOST_FIXTURE_TEST_CASE(refusedWriteHasNoEffect, StoreFixture)
{
    server.setFault(StoreFault::Refuse);
    Transaction write;
    write.writes.push_back({ "k/4", "v", 0 });
    const auto outcome = commit(write);
    BOOST_REQUIRE(!outcome.has_value());
    BOOST_TEST(!mayHaveTakenEffect(outcome.error()));
    BOOST_TEST(!model.read("k/4").has_value());
}

BOOST_FIXTURE_TEST_CASE(resetIsReportedAsUnknownOutcome, StoreFixture)
{
    server.setFault(StoreFault::Reset);
    Transaction write;
    write.writes.push_back({ "k/5", "v", 0 });
    const auto outcome = commit(write);
    BOOST_REQUIRE(!outcome.has_value());
    BOOST_TEST(mayHaveTakenEffect(outcome.error()));
    BOOST_TEST(!model.read("k/5").has_value());
}

BOOST_AUTO_TEST_CASE(orderWithAnOldFencingTokenIsRefused)
{
    WorkerOverHttp worker(10s);
    const auto start = [&](std::uint64_t token) {
        StartOrder order;
        order.task = { "00000000000000aa", 0, 0, static_cast<std::uint32_t>(token) };
        order.run = 1;
        order.leaseUntil = 5s;
        order.fencingToken = token;
        Answer<Result<OrderOutcome>> answer(worker.loop);
        worker.client.start(worker.target, order, { 300ms, false }, answer.done());
        return answer.wait().value();
    };
    BOOST_TEST(std::holds_alternative<OrderAccepted>(start(7)));
    const auto refused = start(6);
    BOOST_REQUIRE(std::holds_alternative<OrderRefused>(refused));
    BOOST_TEST((std::get<OrderRefused>(refused).reason == OrderRefusal::Fenced));
    BOOST_TEST(worker.observer.starts == 1);

    Answer<Result<InventoryOutcome>> answer(worker.loop);
    InventoryRequest request;
    request.fencingToken = 7;
    request.timeout = 350ms;
    worker.client.inventory(worker.target, request, answer.done());
    const auto &listed = answer.wait().value();
    BOOST_REQUIRE(std::holds_alternative<Inventory>(listed));
    BOOST_TEST(std::get<Inventory>(listed).running.size() == 1U);
}

/// Otherwise a finished run behind the end of the list is taken for one that was lost.
BOOST_AUTO_TEST_CASE(inventoryTellsThatItsListOfEndsIsCut)
{
    constexpr std::uint32_t tasks = 501;
    WorkerOverHttp worker(1ms);
    for (std::uint32_t index = 0; index < tasks; ++index) {
        StartOrder order;
        order.task = { "00000000000000aa", 0, 0, index };
        order.run = 1;
        order.leaseUntil = 5s;
        BOOST_REQUIRE(std::holds_alternative<OrderAccepted>(worker.model.start(order)));
    }
    Answer<bool> ended(worker.loop);
    worker.loop.after(100ms, [done = ended.done()] { done(true); });
    BOOST_REQUIRE(ended.wait());

    const auto inventory = [&](std::uint64_t acknowledged) {
        InventoryRequest request;
        request.acknowledged = acknowledged;
        request.timeout = 2s;
        Answer<Result<InventoryOutcome>> answer(worker.loop);
        worker.client.inventory(worker.target, request, answer.done());
        return std::get<Inventory>(answer.wait().value());
    };
    const auto first = inventory(0);
    BOOST_TEST(first.finished.size() == 500U);
    BOOST_TEST(first.moreFinished);
    const auto rest = inventory(first.finished.back().number);
    BOOST_TEST(rest.finished.size() == 1U);
    BOOST_TEST(!rest.moreFinished);
}

BOOST_AUTO_TEST_CASE(policyServiceAnswersSequentially)
{
    EventLoop loop;
    AdviceServer::Policy policy;
    policy.decision = [](const auto &) { return 30ms; };
    policy.validity = 2s;
    policy.allowed = [](const auto &, const std::string &worker) { return worker == "w1"; };
    policy.ticket = [](const auto &, const auto &) { return std::string("t"); };
    AdviceServer server(loop, policy);
    HttpClient http(loop);
    platform::AdviceClient client(http, server.listen(anyPort).value());
    Answer<Result<Advice>> answer(loop);
    const auto sentAt = loop.now();
    client.advise("s", { "w1", "w2" }, adviceTimeout, [](const Result<Advice> &) {});
    client.advise("s", { "w1", "w2" }, adviceTimeout, answer.done());
    const auto &advice = answer.wait();
    BOOST_REQUIRE(advice.has_value());
    BOOST_TEST(advice.value().allowed.size() == 1U);
    BOOST_TEST((loop.now() - sentAt >= 60ms));
}
