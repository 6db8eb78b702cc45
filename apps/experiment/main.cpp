#include <experiment/experiment.h>
#include <experiment/plan.h>

#include <cxxopts.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

using namespace cowsliprock;
using namespace cowsliprock::experiment;

namespace {

enum ExitCode { Kept = 0, Usage = 1, Broken = 2, NotPlayed = 3 };

cxxopts::Options options()
{
    cxxopts::Options result("cowsliprock-experiment",
                            "Plays a load and troubles against daemons in processes of their own "
                            "and checks the promises.");
    auto add = result.add_options();
    add("plan", "file with the plan (schemas/experiment.schema.json)",
        cxxopts::value<std::string>());
    add("seed", "draws a plan with overlapping troubles instead", cxxopts::value<std::uint32_t>());
    add("scale", "multiplies the size of a drawn plan",
        cxxopts::value<std::uint32_t>()->default_value("1"));
    add("daemon", "program of the daemon", cxxopts::value<std::string>());
    add("folder", "for settings files, logs, plan.json and report.json",
        cxxopts::value<std::string>());
    add("print-plan", "prints the plan and plays nothing");
    add("help", "show this text");
    result.custom_help("(--plan FILE | --seed N) --daemon PROGRAM --folder FOLDER");
    return result;
}

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << " cannot be opened\n";
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

std::optional<Plan> planOf(const cxxopts::ParseResult &parsed)
{
    if (parsed.count("seed") > 0)
        return randomPlan(parsed["seed"].as<std::uint32_t>(), parsed["scale"].as<std::uint32_t>());
    if (parsed.count("plan") == 0) {
        std::cerr << "either --plan or --seed is needed\n";
        return std::nullopt;
    }
    const auto text = readFile(parsed["plan"].as<std::string>());
    if (!text)
        return std::nullopt;
    auto plan = parsePlan(*text);
    if (const auto *faults = std::get_if<std::vector<DocumentError>>(&plan)) {
        std::cerr << joinErrors(*faults) << '\n';
        return std::nullopt;
    }
    return std::get<Plan>(std::move(plan));
}

int playAndReport(const Plan &plan, const Cell::Paths &paths)
{
    std::filesystem::create_directories(paths.folder);
    std::ofstream(paths.folder / "plan.json") << formatPlan(plan);
    const auto outcome = play(plan, paths);
    if (!outcome.has_value()) {
        std::cerr << outcome.error().text() << '\n';
        return NotPlayed;
    }
    std::ofstream(paths.folder / "report.json") << outcome.value().report;
    for (const auto &line : outcome.value().broken)
        std::cout << "seed " << plan.seed << ": " << line << '\n';
    std::cout << "seed " << plan.seed << ": " << outcome.value().jobs << " jobs, "
              << outcome.value().starts << " starts, " << plan.troubles.size() << " troubles, "
              << outcome.value().broken.size() << " promises broken\n";
    return outcome.value().broken.empty() ? Kept : Broken;
}

int run(int argc, char **argv)
{
    auto known = options();
    const auto parsed = known.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << known.help();
        return Kept;
    }
    const auto plan = planOf(parsed);
    if (!plan)
        return Usage;
    if (parsed.count("print-plan") > 0) {
        std::cout << formatPlan(*plan);
        return Kept;
    }
    if (parsed.count("daemon") == 0 || parsed.count("folder") == 0) {
        std::cerr << "--daemon and --folder are needed\n";
        return Usage;
    }
    const auto program = std::filesystem::absolute(parsed["daemon"].as<std::string>());
    if (!std::filesystem::exists(program)) {
        std::cerr << program << " does not exist\n";
        return Usage;
    }
    return playAndReport(
        *plan, { program.string(), std::filesystem::absolute(parsed["folder"].as<std::string>()) });
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return run(argc, argv);
    } catch (const std::exception &exception) {
        std::cerr << "cowsliprock-experiment: " << exception.what() << '\n';
        return Usage;
    }
}
