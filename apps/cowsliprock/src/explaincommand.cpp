#include "session.h"

#include <explain/jobreport.h>

#include <sstream>

namespace cowsliprock::cli {

ExitCode Session::explainJob()
{
    std::vector<LogEntry> lines;
    for (std::size_t index = 1; index < m_line.positionals.size(); ++index) {
        const auto text = readFile(m_line.positionals[index]);
        if (!text)
            return ExitCode::Usage;
        std::istringstream stream(*text);
        auto more = readLog(stream);
        lines.insert(lines.end(), std::make_move_iterator(more.begin()),
                     std::make_move_iterator(more.end()));
    }
    const auto report = explain(m_line.positionals.front(), std::move(lines));
    if (m_line.json)
        print(toJson(report));
    else
        m_program.out << toText(report);
    return report.found() ? ExitCode::Ok : ExitCode::Refused;
}

} // namespace cowsliprock::cli
