#include <cli/program.h>

#include "commandline.h"
#include "session.h"

namespace cowsliprock::cli {

ExitCode Program::run(const std::vector<std::string> &arguments) const
{
    const auto line = parseCommandLine(arguments);
    if (!line) {
        errors << line.error().detail << "\nSee cowsliprock --help.\n";
        return ExitCode::Usage;
    }
    if (line.value().help) {
        out << line.value().helpText;
        return ExitCode::Ok;
    }
    return Session(*this, line.value()).run();
}

} // namespace cowsliprock::cli
