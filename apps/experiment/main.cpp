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

enum ExitCode { Passed = 0, UsageError = 1, ViolationsFound = 2, RunFailed = 3 };

cxxopts::Options options()
{
    cxxopts::Options result("cowsliprock-experiment",
                            "Runs daemon processes under load and injected faults and checks the "
                            "scheduling guarantees.");
    auto add = result.add_options();
    add("plan", "plan file (schemas/experiment.schema.json)", cxxopts::value<std::string>());
    add("seed", "generates a random plan with overlapping faults instead",
        cxxopts::value<std::uint32_t>());
    add("scale", "multiplies the size of a random plan",
        cxxopts::value<std::uint32_t>()->default_value("1"));
    add("daemon", "executable of the daemon", cxxopts::value<std::string>());
    add("folder", "output folder for settings files, logs, plan.json and report.json",
        cxxopts::value<std::string>());
    add("print-plan", "prints the plan and exits");
    add("help", "prints this help");
    result.custom_help("(--plan FILE | --seed N) --daemon PROGRAM --folder FOLDER");
    return result;
}

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": cannot open file\n";
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

std::optional<Plan> loadPlan(const cxxopts::ParseResult &parsed)
{
    if (parsed.count("seed") > 0)
        return randomPlan(parsed["seed"].as<std::uint32_t>(), parsed["scale"].as<std::uint32_t>());
    if (parsed.count("plan") == 0) {
        std::cerr << "either --plan or --seed is required\n";
        return std::nullopt;
    }
    const auto text = readFile(parsed["plan"].as<std::string>());
    if (!text)
        return std::nullopt;
    auto plan = parsePlan(*text);
    if (const auto *errors = std::get_if<std::vector<DocumentError>>(&plan)) {
        std::cerr << joinErrors(*errors) << '\n';
        return std::nullopt;
    }
    return std::get<Plan>(std::move(plan));
}

int runAndReport(const Plan &plan, const Cell::Paths &paths)
{
    std::filesystem::create_directories(paths.folder);
    std::ofstream(paths.folder / "plan.json") << formatPlan(plan);
    const auto outcome = runExperiment(plan, paths);
    if (!outcome.has_value()) {
        std::cerr << outcome.error().text() << '\n';
        return RunFailed;
    }
    std::ofstream(paths.folder / "report.json") << outcome.value().report;
    for (const auto &line : outcome.value().violations)
        std::cout << "seed " << plan.seed << ": " << line << '\n';
    std::cout << "seed " << plan.seed << ": " << outcome.value().acceptedJobs << " jobs, "
              << outcome.value().taskStarts << " task starts, " << plan.faults.size() << " faults, "
              << outcome.value().violations.size() << " guarantees violated\n";
    return outcome.value().violations.empty() ? Passed : ViolationsFound;
}

int run(int argc, char **argv)
{
    auto known = options();
    const auto parsed = known.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << known.help();
        return Passed;
    }
    const auto plan = loadPlan(parsed);
    if (!plan)
        return UsageError;
    if (parsed.count("print-plan") > 0) {
        std::cout << formatPlan(*plan);
        return Passed;
    }
    if (parsed.count("daemon") == 0 || parsed.count("folder") == 0) {
        std::cerr << "--daemon and --folder are required\n";
        return UsageError;
    }
    const auto program = std::filesystem::absolute(parsed["daemon"].as<std::string>());
    if (!std::filesystem::exists(program)) {
        std::cerr << program << ": no such file\n";
        return UsageError;
    }
    return runAndReport(
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
        return UsageError;
    }
}
