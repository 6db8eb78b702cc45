#include "commandline.h"

// Disables splitting of values at commas, since values may contain commas.
#define CXXOPTS_VECTOR_DELIMITER '\0'
#include <cxxopts.hpp>

#include <algorithm>
#include <array>

namespace cowsliprock::cli {

namespace {

struct CommandHelp
{
    const char *name;
    const char *positionals;
    std::size_t minPositionals; ///< Minimum number of positional arguments.
    std::size_t maxPositionals;
    const char *text;
    const char *example;
};

constexpr std::array commands{
    CommandHelp{ "submit", "[NAME]", 0, 1,
                 "Submits a job, either from the configuration by name or from a file.",
                 "submit battery-sweep --daemon 127.0.0.1:8301" },
    CommandHelp{ "status", "ID", 1, 1, "Shows the state of a job and its tasks.",
                 "status noord-4f2a --daemon 127.0.0.1:8301" },
    CommandHelp{ "cancel", "ID", 1, 1, "Cancels a job.",
                 "cancel noord-4f2a --daemon 127.0.0.1:8301" },
    CommandHelp{ "wait", "ID", 1, 1, "Waits until a job has ended.",
                 "wait noord-4f2a --timeout-s 600 --daemon 127.0.0.1:8301" },
    CommandHelp{ "request", "SERVICE PATH", 2, 2, "Sends one request to a service.",
                 "request fleetdesk /availability --deadline-ms 800 --daemon 127.0.0.1:8301" },
    CommandHelp{ "configuration get", "", 0, 0,
                 "Prints the version in force and its document, as accepted by apply.",
                 "configuration get --daemon 127.0.0.1:8301 > configuration.json" },
    CommandHelp{ "configuration validate", "FILE", 1, 1,
                 "Validates a document; with --daemon, also its regions and policies.",
                 "configuration validate examples/duinrand/configuration.json" },
    CommandHelp{ "configuration diff", "FILE", 1, 1,
                 "Prints the JSON Patch from the version in force to a document.",
                 "configuration diff configuration.json --daemon 127.0.0.1:8301" },
    CommandHelp{ "configuration apply", "FILE", 1, 1,
                 "Puts a document in force if its base version is still in force.",
                 "configuration apply configuration.json --base 7 --daemon 127.0.0.1:8301" },
    CommandHelp{ "workers", "", 0, 0, "Lists the workers that the daemons own.",
                 "workers --daemon 127.0.0.1:8301 --daemon 127.0.0.1:8302" },
    CommandHelp{ "endpoints", "", 0, 0, "Lists the endpoints that the daemons own.",
                 "endpoints --daemon 127.0.0.1:8301" },
    CommandHelp{ "daemons", "", 0, 0,
                 "Shows the state of each daemon and of its peers as it sees them.",
                 "daemons --output json --daemon 127.0.0.1:8301" },
    CommandHelp{ "late", "", 0, 0, "Lists work that has missed its deadline.",
                 "late --daemon 127.0.0.1:8301" },
    CommandHelp{ "report burn", "", 0, 0,
                 "Reports the error budget burn of the service-level objectives.",
                 "report burn --daemon 127.0.0.1:8301 --daemon 127.0.0.1:8302" },
    CommandHelp{ "explain", "ID FILE...", 2, 1000,
                 "Compiles a report on one job from daemon logs; needs no daemon.",
                 "explain 5c0e7a21d94b36f8 logs/daemon-0.log logs/daemon-1.log" },
    CommandHelp{ "replay", "FILE", 1, 1,
                 "Replays a recorded trace and checks the invariants; needs no daemon.",
                 "replay tests/traces/desk-checks.jsonl" },
};

[[nodiscard]] Error usageError(std::string detail)
{
    return { ErrorKind::Invalid, "arguments", {}, std::move(detail) };
}

[[nodiscard]] const CommandHelp *findCommand(const std::vector<std::string> &arguments)
{
    const std::string one = arguments.empty() ? "" : arguments[0];
    const std::string two = arguments.size() < 2 ? one : one + " " + arguments[1];
    const auto found = std::find_if(commands.begin(), commands.end(), [&](const CommandHelp &help) {
        return help.name == one || help.name == two;
    });
    return found != commands.end() ? &*found : nullptr;
}

void addOptions(cxxopts::Options &options, const std::string &command)
{
    auto add = options.add_options();
    add("daemon", "host:port of a daemon; may be repeated",
        cxxopts::value<std::vector<std::string>>());
    add("output", "text or json", cxxopts::value<std::string>()->default_value("text"));
    add("help", "show this help");
    add("positionals", "", cxxopts::value<std::vector<std::string>>());
    if (command == "submit" || command == "request")
        add("file",
            command == "submit" ? "job definition as in a configuration document"
                                : "file with the request body",
            cxxopts::value<std::string>());
    if (command == "wait")
        add("timeout-s", "maximum time to wait, in seconds",
            cxxopts::value<int>()->default_value("3600"));
    if (command == "configuration apply")
        add("base", "version on which the document is based", cxxopts::value<unsigned long long>());
    if (command == "request") {
        add("method", "HTTP method", cxxopts::value<std::string>()->default_value("GET"));
        add("data", "request body", cxxopts::value<std::string>());
        add("key", "idempotency key (Idempotency-Key header)", cxxopts::value<std::string>());
        add("caller", "name of the caller", cxxopts::value<std::string>());
        add("priority", "urgent, normal or batch", cxxopts::value<std::string>());
        add("idempotent", "true or false", cxxopts::value<bool>());
        add("deadline-ms", "deadline in milliseconds, 1 to 25000", cxxopts::value<int>());
    }
}

template <typename T, typename Target>
void readOption(const cxxopts::ParseResult &parsed, const char *name, Target &target)
{
    if (parsed.count(name) > 0)
        target = parsed[name].as<T>();
}

void readOptions(const cxxopts::ParseResult &parsed, CommandLine &line)
{
    line.help = parsed.count("help") > 0;
    line.json = parsed["output"].as<std::string>() == "json";
    readOption<std::vector<std::string>>(parsed, "daemon", line.daemons);
    readOption<std::vector<std::string>>(parsed, "positionals", line.positionals);
    readOption<std::string>(parsed, "file", line.file);
    readOption<std::string>(parsed, "method", line.method);
    readOption<std::string>(parsed, "data", line.data);
    readOption<std::string>(parsed, "key", line.key);
    readOption<std::string>(parsed, "caller", line.caller);
    readOption<std::string>(parsed, "priority", line.priority);
    readOption<bool>(parsed, "idempotent", line.idempotent);
    readOption<int>(parsed, "deadline-ms", line.deadlineMs);
    readOption<int>(parsed, "timeout-s", line.timeoutSeconds);
    readOption<unsigned long long>(parsed, "base", line.base);
}

[[nodiscard]] std::string validate(const CommandLine &line, const CommandHelp &help)
{
    const std::size_t count = line.positionals.size();
    if (count < help.minPositionals || count > help.maxPositionals)
        return std::string("expected: ") + help.name + " " + help.positionals;
    if (line.command == "submit" && (count == 1) == !line.file.empty())
        return "submit requires either a job name or --file";
    if (line.daemons.empty() && line.command != "configuration validate" && line.command != "replay"
        && line.command != "explain")
        return "missing option --daemon";
    if (line.deadlineMs && (*line.deadlineMs < 1 || *line.deadlineMs > 25'000))
        return "--deadline-ms must be from 1 to 25000";
    if (!line.priority.empty() && line.priority != "urgent" && line.priority != "normal"
        && line.priority != "batch")
        return "--priority must be urgent, normal or batch";
    if (!line.data.empty() && !line.file.empty())
        return "--data and --file cannot be used together";
    return {};
}

} // namespace

std::string generalHelp()
{
    std::string text =
        "Usage: cowsliprock COMMAND [ARGUMENTS] --daemon host:port ...\n\nCommands:\n";
    for (const auto &help : commands) {
        std::string left = std::string("  ") + help.name + " " + help.positionals;
        left.resize(std::max<std::size_t>(left.size() + 1, 32), ' ');
        text += left + help.text + "\n";
    }
    return text
        + "\n`cowsliprock COMMAND --help` shows the options of a command.\n"
          "Exit codes: 0 ok, 1 usage, 2 refused or not run, 3 outcome unknown, "
          "4 daemon unreachable, 5 conflict.\n";
}

Result<CommandLine> parseCommandLine(const std::vector<std::string> &arguments)
{
    const CommandHelp *help = findCommand(arguments);
    if (!help) {
        CommandLine line;
        line.help = !arguments.empty() && (arguments[0] == "--help" || arguments[0] == "help");
        line.helpText = generalHelp();
        if (line.help)
            return line;
        return usageError(arguments.empty() ? "missing command"
                                            : "unknown command '" + arguments[0] + "'");
    }
    CommandLine line;
    line.command = help->name;
    const auto words = 1 + std::count(line.command.begin(), line.command.end(), ' ');
    cxxopts::Options options("cowsliprock " + line.command, help->text);
    addOptions(options, line.command);
    options.parse_positional("positionals");
    options.positional_help(help->positionals);
    std::vector<const char *> argv{ "cowsliprock" };
    for (auto argument = arguments.begin() + words; argument != arguments.end(); ++argument)
        argv.push_back(argument->c_str());
    try {
        const auto parsed = options.parse(static_cast<int>(argv.size()), argv.data());
        readOptions(parsed, line);
        line.helpText = options.help() + "\nExample:\n  cowsliprock " + help->example + "\n";
        if (const auto output = parsed["output"].as<std::string>();
            output != "text" && output != "json")
            return usageError("--output must be text or json");
    } catch (const std::exception &exception) {
        return usageError(exception.what());
    }
    if (line.help)
        return line;
    if (auto error = validate(line, *help); !error.empty())
        return usageError(std::move(error));
    return line;
}

} // namespace cowsliprock::cli
