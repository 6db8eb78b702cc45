#include "session.h"

#include <burn/report.h>
#include <kernel/replay.h>

#include <fstream>

namespace cowsliprock::cli {

ExitCode Session::reportBurn()
{
    std::vector<BurnPart> parts;
    std::vector<std::string> missing;
    for (const std::string &daemon : m_line.daemons) {
        const auto response = fetch(daemon, "/v1/burn");
        if (!response) {
            missing.push_back(daemon);
            continue;
        }
        auto part = decodePart(*response);
        if (!part)
            return printFailure(part.error());
        parts.push_back(std::move(part.value()));
    }
    const BurnReport report = mergeParts(parts, missing);
    m_program.out << (m_line.json ? reportAsJson(report) + "\n" : reportAsText(report));
    return missing.empty() ? ExitCode::Ok : ExitCode::Unreachable;
}

ExitCode Session::replay()
{
    std::ifstream trace(m_line.positionals[0]);
    if (!trace)
        return usageError(m_line.positionals[0] + ": cannot read file");
    const auto summary = replayTrace(trace);
    if (!summary)
        return printFailure(summary.error());
    const auto &[events, effects, answers, violations] = summary.value();
    print({ { "events", events },
            { "effects", effects },
            { "answers", answers },
            { "violations", violations } });
    return violations.empty() ? ExitCode::Ok : ExitCode::Refused;
}

} // namespace cowsliprock::cli
