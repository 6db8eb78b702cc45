#include <settings/daemonsettings.h>

// Override values may be JSON arrays, which must not be split at commas.
#define CXXOPTS_VECTOR_DELIMITER '\0'
#include <cxxopts.hpp>

namespace cowsliprock {

Result<DaemonArguments> parseDaemonArguments(int argc, const char *const *argv)
{
    try {
        cxxopts::Options options("cowsliprockd", "Scheduler daemon of one entry VM.");
        options.add_options()("settings", "settings file (JSON)", cxxopts::value<std::string>())(
            "set", "override one setting, as key=value; may be repeated",
            cxxopts::value<std::vector<std::string>>())("help", "print this help");
        const auto parsed = options.parse(argc, argv);

        DaemonArguments arguments;
        arguments.helpText = options.help()
            + "\nExample:\n  cowsliprockd --settings examples/duinrand/settings.json "
              "--set name=noord-1\n";
        arguments.help = parsed.count("help") > 0;
        if (parsed.count("set") > 0)
            arguments.overrides = parsed["set"].as<std::vector<std::string>>();
        if (parsed.count("settings") > 0)
            arguments.settingsPath = parsed["settings"].as<std::string>();
        if (!parsed.unmatched().empty())
            return Error{ ErrorKind::Invalid,
                          "arguments",
                          {},
                          "unknown argument '" + parsed.unmatched().front() + "'" };
        if (arguments.settingsPath.empty() && !arguments.help)
            return Error{ ErrorKind::Invalid, "arguments", {}, "--settings is missing" };
        return arguments;
    } catch (const std::exception &exception) {
        return Error{ ErrorKind::Invalid, "arguments", {}, exception.what() };
    }
}

} // namespace cowsliprock
