#include <explain/jobreport.h>

#include <algorithm>
#include <array>
#include <set>
#include <string_view>
#include <utility>

namespace cowsliprock {

namespace {

using Json = nlohmann::json;

/// Entries up to this long before the first and after the last entry of the job are context.
constexpr std::int64_t contextMarginMs = 5000;

constexpr std::array<std::string_view, 4> jobFields{ "job", "step", "task", "key" };
constexpr std::array<std::string_view, 9> contextPrefixes{
    "store.", "shard.", "process.",  "presence.",     "member.left",
    "log.",   "calls.", "settings.", "configuration."
};

bool mentionsJob(const LogEntry &line, const std::string &job)
{
    return std::any_of(jobFields.begin(), jobFields.end(), [&](std::string_view field) {
        const auto value = line.fields.find(std::string(field));
        if (value == line.fields.end() || !value->is_string())
            return false;
        const auto &text = value->get_ref<const std::string &>();
        return text == job || text.starts_with(job + ".") || text.ends_with("/" + job);
    });
}

std::string stringField(const Json &fields, const char *name)
{
    const auto value = fields.find(name);
    return value != fields.end() && value->is_string() ? value->get<std::string>() : std::string();
}

bool isContext(const LogEntry &line, const std::set<std::string> &workers)
{
    const bool prefixed =
        std::any_of(contextPrefixes.begin(), contextPrefixes.end(),
                    [&line](std::string_view prefix) { return line.event.starts_with(prefix); });
    return prefixed
        || (line.event.starts_with("worker.")
            && workers.contains(stringField(line.fields, "worker")));
}

/// Builds the findings of a report.
class FindingsBuilder
{
public:
    explicit FindingsBuilder(const JobReport &report)
        : m_report(report)
    { }

    std::vector<std::string> build()
    {
        addAcceptance();
        addWaiting();
        addFailures();
        addOutcome();
        addGaps();
        return std::move(m_findings);
    }

private:
    [[nodiscard]] const LogEntry *first(std::initializer_list<std::string_view> events) const
    {
        const auto found = std::find_if(
            m_report.events.begin(), m_report.events.end(), [&events](const LogEntry &line) {
                return std::find(events.begin(), events.end(), line.event) != events.end();
            });
        return found == m_report.events.end() ? nullptr : &*found;
    }

    [[nodiscard]] std::size_t count(std::string_view event) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_report.events.begin(), m_report.events.end(),
                          [event](const LogEntry &line) { return line.event == event; }));
    }

    [[nodiscard]] bool contextContains(std::string_view event) const
    {
        return std::any_of(m_report.context.begin(), m_report.context.end(),
                           [event](const LogEntry &line) { return line.event == event; });
    }

    void add(std::string finding) { m_findings.push_back(std::move(finding)); }

    void addAcceptance()
    {
        if (const auto *accepted = first({ "job.accepted" })) {
            add("accepted by " + accepted->process + " after "
                + std::to_string(accepted->fields.value("ms", 0)) + " ms");
        } else if (const auto *refused = first({ "job.refused" })) {
            add("refused by " + refused->process + " without having stored it"
                + (refused->fields.value("storeFailing", false) ? ": its calls of the store failed"
                                                                : ""));
        } else if (const auto *unanswered = first({ "job.unanswered" })) {
            add("not confirmed by " + unanswered->process
                + ": the store may have committed it or may still commit it");
        }
    }

    void addWaiting()
    {
        const auto *known = first({ "job.known" });
        const auto *started = first({ "step.started", "gang.started", "run.adopted" });
        if (known != nullptr && started != nullptr)
            add("first task started " + std::to_string(started->time - known->time)
                + " ms after its owner " + known->process + " learned of it");
        else if (known != nullptr && first({ "job.ended" }) == nullptr)
            add("its owner " + known->process + " learned of it; no task start is logged");
        if (const auto adviceCalls = count("advice.received") + count("advice.failed");
            adviceCalls > 0)
            add("the policy service was asked " + std::to_string(adviceCalls) + " times, "
                + std::to_string(count("advice.failed")) + " without an answer");
    }

    void addFailures()
    {
        std::set<std::string> owners;
        for (const auto &line : m_report.events) {
            if (line.event == "job.known")
                owners.insert(line.process);
        }
        if (owners.size() > 1)
            add("its owner changed: " + std::to_string(owners.size()) + " daemons scheduled it");
        for (const auto &line : m_report.events) {
            if (line.event == "task.failed")
                add("run " + std::to_string(line.fields.value("run", 0)) + " of "
                    + stringField(line.fields, "task") + " failed on "
                    + stringField(line.fields, "worker") + " ("
                    + std::to_string(line.fields.value("failures", 0)) + " of "
                    + std::to_string(line.fields.value("allowed", 0)) + " attempts)");
            else if (line.event == "run.lost" || line.event == "run.stopping")
                add("run " + std::to_string(line.fields.value("run", 0)) + " of "
                    + stringField(line.fields, "task") + ": " + stringField(line.fields, "reason"));
        }
        if (contextContains("store.lost"))
            add("a daemon could not reach the store during this time");
    }

    void addOutcome()
    {
        const auto last =
            std::find_if(m_report.events.rbegin(), m_report.events.rend(),
                         [](const LogEntry &line) { return line.event == "job.ended"; });
        if (last != m_report.events.rend())
            add("ended as " + stringField(last->fields, "status") + " "
                + std::to_string(last->fields.value("ms", 0)) + " ms after " + last->process
                + " learned of it");
        else
            add("no end is logged");
    }

    void addGaps()
    {
        if (contextContains("log.dropped"))
            add("log lines were dropped during this time; the report may be incomplete");
    }

    const JobReport &m_report;
    std::vector<std::string> m_findings;
};

Json toJson(const LogEntry &line)
{
    return { { "time", line.time },
             { "process", line.process },
             { "event", line.event },
             { "fields", line.fields } };
}

std::string toText(const LogEntry &line, std::int64_t begin)
{
    const auto since = line.time - begin;
    std::string text = std::string(since < 0 ? "  " : "  +") + std::to_string(since) + " ms  "
        + line.process + "  " + line.event;
    for (const auto &[name, value] : line.fields.items())
        text += "  " + name + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
    return text + "\n";
}

} // namespace

std::vector<LogEntry> readLog(std::istream &text)
{
    std::vector<LogEntry> lines;
    for (std::string textLine; std::getline(text, textLine);) {
        // A log collector may have put a prefix before the JSON object.
        const auto begin = textLine.find('{');
        auto json = begin == std::string::npos
            ? Json()
            : Json::parse(textLine.begin() + static_cast<std::ptrdiff_t>(begin), textLine.end(),
                          nullptr, false);
        if (!json.is_object() || !json.contains("event") || !json["event"].is_string())
            continue;
        LogEntry line;
        line.event = json["event"].get<std::string>();
        line.process = stringField(json, "process");
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

JobReport explain(const std::string &job, std::vector<LogEntry> lines)
{
    std::stable_sort(lines.begin(), lines.end(), [](const LogEntry &left, const LogEntry &right) {
        return left.time < right.time;
    });
    const auto firstUnrelated =
        std::stable_partition(lines.begin(), lines.end(),
                              [&job](const LogEntry &line) { return mentionsJob(line, job); });
    JobReport report;
    report.job = job;
    report.events.assign(lines.begin(), firstUnrelated);
    if (!report.found())
        return report;
    std::set<std::string> workers;
    for (const auto &line : report.events)
        workers.insert(stringField(line.fields, "worker"));
    const auto begin = report.events.front().time - contextMarginMs;
    const auto end = report.events.back().time + contextMarginMs;
    std::copy_if(firstUnrelated, lines.end(), std::back_inserter(report.context),
                 [&](const LogEntry &line) {
                     return line.time >= begin && line.time <= end && isContext(line, workers);
                 });
    report.findings = FindingsBuilder(report).build();
    return report;
}

Json toJson(const JobReport &report)
{
    const auto rows = [](const std::vector<LogEntry> &lines) {
        Json array = Json::array();
        for (const auto &line : lines)
            array.push_back(toJson(line));
        return array;
    };
    return { { "job", report.job },
             { "findings", report.findings },
             { "events", rows(report.events) },
             { "context", rows(report.context) } };
}

std::string toText(const JobReport &report)
{
    std::string text = "job " + report.job + "\n";
    for (const auto &finding : report.findings)
        text += "- " + finding + "\n";
    if (!report.found())
        return text + "- no log names it\n";
    const auto begin = report.events.front().time;
    text += "lines of the job:\n";
    for (const auto &line : report.events)
        text += toText(line, begin);
    text += "meanwhile:\n";
    for (const auto &line : report.context)
        text += toText(line, begin);
    return text;
}

} // namespace cowsliprock
