#include "prefixwatch.h"

#include <set>
#include <utility>

namespace cowsliprock::cell {

namespace {

constexpr std::chrono::milliseconds firstRetryDelay{ 100 };
constexpr std::chrono::milliseconds maxRetryDelay{ 200 };

} // namespace

struct PrefixWatch::State : std::enable_shared_from_this<PrefixWatch::State>
{
    State(StorePort &storePort, Timers &timerPort, std::string keyPrefix, Options watchOptions,
          Listener watchListener)
        : store(storePort)
        , timers(timerPort)
        , prefix(std::move(keyPrefix))
        , options(watchOptions)
        , listener(std::move(watchListener))
    { }

    StorePort &store;
    Timers &timers;
    std::string prefix;
    Options options;
    Listener listener;
    std::map<std::string, std::uint64_t> revisions; ///< Latest known revision of each key.
    std::set<std::string> listedKeys;
    std::uint64_t position = 0; ///< Revision after which the next watch starts.
    std::uint64_t listPosition = 0;
    Duration retryDelay = firstRetryDelay;
    bool closed = false;
    bool synchronized = false;
    bool applied = true; ///< Whether all of the last events were applied.
    bool reachable = true;

    void beginList();
    void listPage(const std::string &after);
    void handlePage(const StorePage &page);
    void finishList();
    void watch();
    void handleEvents(const StoreEvents &events);
    void apply(const StoreItem &item);
    void remove(const std::string &key, std::uint64_t revision);
    void retry(std::function<void(State &)> step);
    void succeeded();
};

void PrefixWatch::State::beginList()
{
    listedKeys.clear();
    listPosition = 0;
    listPage("");
}

void PrefixWatch::State::listPage(const std::string &after)
{
    store.list(prefix, after, [self = shared_from_this(), after](const Result<StorePage> &page) {
        if (self->closed)
            return;
        if (!page.has_value()) {
            self->retry([after](State &state) { state.listPage(after); });
            return;
        }
        self->succeeded();
        self->handlePage(page.value());
    });
}

void PrefixWatch::State::handlePage(const StorePage &page)
{
    // The pages are not a consistent snapshot, so the watch starts at the revision of the first
    // one.
    if (listPosition == 0)
        listPosition = page.asOf;
    for (const auto &item : page.items) {
        listedKeys.insert(item.key);
        apply(item);
        if (closed)
            return;
    }
    if (page.more && !page.items.empty())
        listPage(page.items.back().key);
    else
        finishList();
}

void PrefixWatch::State::finishList()
{
    std::vector<std::string> missing;
    for (const auto &[key, revision] : revisions) {
        if (!listedKeys.contains(key) && revision <= listPosition)
            missing.push_back(key);
    }
    for (const auto &key : missing)
        remove(key, listPosition);
    listedKeys.clear();
    position = listPosition;
    synchronized = true;
    if (listener.listed)
        listener.listed();
    if (!closed)
        watch();
}

void PrefixWatch::State::watch()
{
    // After a failure the watch does not wait, so that its response immediately shows that the
    // store is reachable again.
    store.watch(prefix, position, reachable ? options.wait : Duration::zero(),
                [self = shared_from_this()](const Result<StoreEvents> &events) {
                    if (self->closed)
                        return;
                    if (!events.has_value()) {
                        self->retry([](State &state) { state.watch(); });
                        return;
                    }
                    self->succeeded();
                    self->handleEvents(events.value());
                });
}

void PrefixWatch::State::handleEvents(const StoreEvents &events)
{
    if (events.historyLost) {
        beginList();
        return;
    }
    // An exception in a listener must not end the watch: the prefix is listed again in that case.
    applied = false;
    const Duration pause = events.events.empty() ? Duration::zero() : options.coalesce;
    timers.after(pause, [self = shared_from_this()] {
        if (self->closed)
            return;
        if (self->applied)
            self->watch();
        else
            self->beginList();
    });
    for (const auto &event : events.events) {
        if (event.removed)
            remove(event.item.key, event.item.revision);
        else
            apply(event.item);
        if (closed)
            return;
    }
    position = std::max(position, events.asOf);
    applied = true;
}

void PrefixWatch::State::apply(const StoreItem &item)
{
    auto &known = revisions[item.key];
    if (item.revision <= known)
        return;
    known = item.revision;
    listener.changed(item);
}

void PrefixWatch::State::remove(const std::string &key, std::uint64_t revision)
{
    const auto known = revisions.find(key);
    if (known == revisions.end() || revision < known->second)
        return;
    revisions.erase(known);
    listener.removed(key, revision);
}

void PrefixWatch::State::retry(std::function<void(State &)> step)
{
    if (std::exchange(reachable, false) && listener.reachable)
        listener.reachable(false);
    if (closed)
        return;
    timers.after(retryDelay, [self = shared_from_this(), step = std::move(step)] {
        if (!self->closed)
            step(*self);
    });
    retryDelay = std::min<Duration>(retryDelay * 2, maxRetryDelay);
}

void PrefixWatch::State::succeeded()
{
    retryDelay = firstRetryDelay;
    if (!std::exchange(reachable, true) && listener.reachable)
        listener.reachable(true);
}

PrefixWatch::PrefixWatch(StorePort &store, Timers &timers, std::string prefix, Options options,
                         Listener listener)
    : m_state(
        std::make_shared<State>(store, timers, std::move(prefix), options, std::move(listener)))
{ }

PrefixWatch::~PrefixWatch()
{
    m_state->closed = true;
}

void PrefixWatch::start()
{
    m_state->beginList();
}

bool PrefixWatch::synchronized() const noexcept
{
    return m_state->synchronized;
}

void PrefixWatch::offer(const StoreItem &item)
{
    // An item older than the position of the watch may have been removed since.
    if (m_state->synchronized && item.revision > m_state->position)
        m_state->apply(item);
}

} // namespace cowsliprock::cell
