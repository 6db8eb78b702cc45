#include <explain/account.h>

#include <algorithm>
#include <array>
#include <set>
#include <string_view>
#include <utility>

namespace cowsliprock {

namespace {

using Json = nlohmann::json;

/// Lines this much before and after those of the job belong to its story.
constexpr std::int64_t contextMs = 5000;

constexpr std::array<std::string_view, 4> jobFields{ "job", "step", "task", "key" };
constexpr std::array<std::string_view, 9> contextPrefixes{
    "store.", "shard.", "process.",  "presence.",     "member.left",
    "log.",   "calls.", "settings.", "configuration."
};

bool names(const LogLine &line, const std::string &job)
{
    return std::any_of(jobFields.begin(), jobFields.end(), [&](std::string_view field) {
        const auto value = line.fields.find(std::string(field));
        if (value == line.fields.end() || !value->is_string())
            return false;
        const auto &text = value->get_ref<const std::string &>();
        return text == job || text.starts_with(job + ".") || text.ends_with("/" + job);
    });
}

std::string textOf(const Json &fields, const char *name)
{
    const auto value = fields.find(name);
    return value != fields.end() && value->is_string() ? value->get<std::string>() : std::string();
}

bool isContext(const LogLine &line, const std::set<std::string> &workers)
{
    const bool prefixed =
        std::any_of(contextPrefixes.begin(), contextPrefixes.end(),
                    [&line](std::string_view prefix) { return line.event.starts_with(prefix); });
    return prefixed
        || (line.event.starts_with("worker.") && workers.contains(textOf(line.fields, "worker")));
}

/// Builds the sentences of an account.
class Findings
{
public:
    explicit Findings(const Account &account)
        : m_account(account)
    { }

    std::vector<std::string> write()
    {
        acceptance();
        waiting();
        troubles();
        ending();
        gaps();
        return std::move(m_sentences);
    }

private:
    [[nodiscard]] const LogLine *first(std::initializer_list<std::string_view> events) const
    {
        const auto found = std::find_if(
            m_account.events.begin(), m_account.events.end(), [&events](const LogLine &line) {
                return std::find(events.begin(), events.end(), line.event) != events.end();
            });
        return found == m_account.events.end() ? nullptr : &*found;
    }

    [[nodiscard]] std::size_t count(std::string_view event) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_account.events.begin(), m_account.events.end(),
                          [event](const LogLine &line) { return line.event == event; }));
    }

    [[nodiscard]] bool inContext(std::string_view event) const
    {
        return std::any_of(m_account.context.begin(), m_account.context.end(),
                           [event](const LogLine &line) { return line.event == event; });
    }

    void say(std::string sentence) { m_sentences.push_back(std::move(sentence)); }

    void acceptance()
    {
        if (const auto *accepted = first({ "job.accepted" })) {
            say("accepted by " + accepted->process + " after "
                + std::to_string(accepted->fields.value("ms", 0)) + " ms");
        } else if (const auto *refused = first({ "job.refused" })) {
            say("refused by " + refused->process + ", which had not stored it"
                + (refused->fields.value("storeFailing", false) ? ": its calls of the store failed"
                                                                : ""));
        } else if (const auto *unanswered = first({ "job.unanswered" })) {
            say("left open by " + unanswered->process
                + ": the store may have taken it, now or later");
        }
    }

    void waiting()
    {
        const auto *known = first({ "job.known" });
        const auto *started = first({ "step.started", "gang.started", "run.adopted" });
        if (known != nullptr && started != nullptr)
            say("first task started " + std::to_string(started->time - known->time)
                + " ms after its owner " + known->process + " learned of it");
        else if (known != nullptr && first({ "job.ended" }) == nullptr)
            say("its owner " + known->process + " learned of it; no start is logged");
        if (const auto questions = count("advice.received") + count("advice.failed"); questions > 0)
            say("the policy service was asked " + std::to_string(questions) + " times, "
                + std::to_string(count("advice.failed")) + " without an answer");
    }

    void troubles()
    {
        std::set<std::string> owners;
        for (const auto &line : m_account.events) {
            if (line.event == "job.known")
                owners.insert(line.process);
        }
        if (owners.size() > 1)
            say("its owner changed: " + std::to_string(owners.size()) + " daemons scheduled it");
        for (const auto &line : m_account.events) {
            if (line.event == "task.failed")
                say("run " + std::to_string(line.fields.value("run", 0)) + " of "
                    + textOf(line.fields, "task") + " failed on " + textOf(line.fields, "worker")
                    + " (" + std::to_string(line.fields.value("failures", 0)) + " of "
                    + std::to_string(line.fields.value("allowed", 0)) + " attempts)");
            else if (line.event == "run.lost" || line.event == "run.stopping")
                say("run " + std::to_string(line.fields.value("run", 0)) + " of "
                    + textOf(line.fields, "task") + ": " + textOf(line.fields, "reason"));
        }
        if (inContext("store.lost"))
            say("a daemon was without the store meanwhile");
    }

    void ending()
    {
        const auto last =
            std::find_if(m_account.events.rbegin(), m_account.events.rend(),
                         [](const LogLine &line) { return line.event == "job.ended"; });
        if (last != m_account.events.rend())
            say("ended as " + textOf(last->fields, "status") + " "
                + std::to_string(last->fields.value("ms", 0)) + " ms after " + last->process
                + " learned of it");
        else
            say("no end is logged");
    }

    void gaps()
    {
        if (inContext("log.dropped"))
            say("lines were dropped meanwhile; the account may have gaps");
    }

    const Account &m_account;
    std::vector<std::string> m_sentences;
};

Json toJson(const LogLine &line)
{
    return { { "time", line.time },
             { "process", line.process },
             { "event", line.event },
             { "fields", line.fields } };
}

std::string toText(const LogLine &line, std::int64_t begin)
{
    const auto since = line.time - begin;
    std::string text = std::string(since < 0 ? "  " : "  +") + std::to_string(since) + " ms  "
        + line.process + "  " + line.event;
    for (const auto &[name, value] : line.fields.items())
        text += "  " + name + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
    return text + "\n";
}

} // namespace

std::vector<LogLine> readLog(std::istream &text)
{
    std::vector<LogLine> lines;
    for (std::string row; std::getline(text, row);) {
        // The line may stand behind what a collector of logs puts before it.
        const auto begin = row.find('{');
        auto json = begin == std::string::npos
            ? Json()
            : Json::parse(row.begin() + static_cast<std::ptrdiff_t>(begin), row.end(), nullptr,
                          false);
        if (!json.is_object() || !json.contains("event") || !json["event"].is_string())
            continue;
        LogLine line;
        line.event = json["event"].get<std::string>();
        line.process = textOf(json, "process");
        const char *clock = json.contains("time") ? "time" : "t";
        if (json.contains(clock) && json[clock].is_number())
            line.time = json[clock].get<std::int64_t>();
        for (const char *head : { "t", "time", "process", "event" })
            json.erase(head);
        line.fields = std::move(json);
        lines.push_back(std::move(line));
    }
    return lines;
}

Account explain(const std::string &job, std::vector<LogLine> lines)
{
    std::stable_sort(lines.begin(), lines.end(), [](const LogLine &left, const LogLine &right) {
        return left.time < right.time;
    });
    const auto others = std::stable_partition(
        lines.begin(), lines.end(), [&job](const LogLine &line) { return names(line, job); });
    Account account;
    account.job = job;
    account.events.assign(lines.begin(), others);
    if (!account.found())
        return account;
    std::set<std::string> workers;
    for (const auto &line : account.events)
        workers.insert(textOf(line.fields, "worker"));
    const auto begin = account.events.front().time - contextMs;
    const auto end = account.events.back().time + contextMs;
    std::copy_if(others, lines.end(), std::back_inserter(account.context),
                 [&](const LogLine &line) {
                     return line.time >= begin && line.time <= end && isContext(line, workers);
                 });
    account.findings = Findings(account).write();
    return account;
}

Json toJson(const Account &account)
{
    const auto rows = [](const std::vector<LogLine> &lines) {
        Json array = Json::array();
        for (const auto &line : lines)
            array.push_back(toJson(line));
        return array;
    };
    return { { "job", account.job },
             { "findings", account.findings },
             { "events", rows(account.events) },
             { "context", rows(account.context) } };
}

std::string toText(const Account &account)
{
    std::string text = "job " + account.job + "\n";
    for (const auto &sentence : account.findings)
        text += "- " + sentence + "\n";
    if (!account.found())
        return text + "- no log names it\n";
    const auto begin = account.events.front().time;
    text += "lines of the job:\n";
    for (const auto &line : account.events)
        text += toText(line, begin);
    text += "meanwhile:\n";
    for (const auto &line : account.context)
        text += toText(line, begin);
    return text;
}

} // namespace cowsliprock
