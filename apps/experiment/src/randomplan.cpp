#include <experiment/plan.h>

#include <algorithm>
#include <random>

namespace cowsliprock::experiment {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t lastKind = static_cast<std::uint32_t>(TroubleKind::LinkCutOneWay);

class Draw
{
public:
    explicit Draw(std::uint32_t seed)
        : m_random(seed)
    { }

    std::uint32_t from(std::uint32_t low, std::uint32_t high)
    {
        return std::uniform_int_distribution<std::uint32_t>(low, high)(m_random);
    }

    Duration time(std::uint32_t low, std::uint32_t high) { return milliseconds(from(low, high)); }

    Trouble trouble(Duration at)
    {
        Trouble result;
        result.kind = static_cast<TroubleKind>(from(0, lastKind));
        result.at = at;
        result.time = time(300, 4000);
        result.target = from(0, 1000);
        return result;
    }

private:
    std::mt19937 m_random;
};

JobKind batch(Draw &draw)
{
    JobKind kind;
    kind.name = "batch";
    kind.perSecond = draw.from(1, 4);
    kind.priority = 1;
    kind.steps = draw.from(1, 2);
    kind.tasks = draw.from(1, 5);
    kind.amount = { 3000, 4096, 0 };
    kind.work = draw.time(200, 1500);
    kind.gangShare = 0.3;
    kind.failingShare = 0.05;
    kind.cancelShare = 0.1;
    kind.repeatShare = 0.1;
    kind.adviceTime = milliseconds(draw.from(0, 1) * 20);
    return kind;
}

JobKind urgent(Draw &draw)
{
    JobKind kind;
    kind.name = "urgent";
    kind.perSecond = draw.from(1, 5);
    kind.tasks = 2;
    kind.work = draw.time(100, 400);
    kind.repeatShare = 0.1;
    return kind;
}

} // namespace

Plan randomPlan(std::uint32_t seed, std::uint32_t scale)
{
    Draw draw(seed);
    Plan plan;
    plan.seed = seed;
    plan.daemons = draw.from(3, 5) * scale;
    plan.workers = draw.from(6, 14) * scale;
    plan.length = draw.time(15'000, 25'000);
    plan.kinds = { batch(draw), urgent(draw) };
    for (auto &kind : plan.kinds)
        kind.perSecond *= scale;
    // Pauses are shorter than troubles, so that several are at work at a time.
    for (Duration at = draw.time(500, 2000); at < plan.length; at += draw.time(100, 1800))
        plan.troubles.push_back(draw.trouble(at));
    return plan;
}

} // namespace cowsliprock::experiment
