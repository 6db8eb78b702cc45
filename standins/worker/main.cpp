#include <standinworker/fleet.h>

#include <cxxopts.hpp>

#include <iostream>

namespace {

using namespace cowsliprock;
using namespace cowsliprock::standin;

[[nodiscard]] cxxopts::Options commandLine()
{
    using cxxopts::value;
    cxxopts::Options options("standin-worker",
                             "Simulated workers with service endpoints, for tests");
    auto add = options.add_options();
    add("listen-base", "address of the first worker; later workers use consecutive ports",
        value<std::string>()->default_value("127.0.0.1:7500"));
    add("count", "number of workers", value<std::size_t>()->default_value("1"));
    add("name-prefix", "prefix of worker names, followed by a number",
        value<std::string>()->default_value("worker-"));
    add("region", "region of the workers", value<std::string>()->default_value("noord"));
    add("data-centre", "data centre of the workers",
        value<std::string>()->default_value("noord-1"));
    add("rack-size", "number of workers per rack", value<std::size_t>()->default_value("8"));
    add("cpu-millis", "CPU capacity in thousandths of a core",
        value<std::int64_t>()->default_value("16000"));
    add("memory-mb", "memory capacity in MB", value<std::int64_t>()->default_value("65536"));
    add("accelerators", "number of accelerators", value<std::int64_t>()->default_value("0"));
    add("service-time-ms", "processing time of a request", value<int>()->default_value("50"));
    add("task-time-ms", "run time of a task; 0 uses its expected run time",
        value<int>()->default_value("0"));
    add("usage-lag-ms", "delay before the usage of a task is reported",
        value<int>()->default_value("0"));
    add("used-share", "reported usage as a fraction of the declared resources",
        value<double>()->default_value("0.6"));
    add("threads", "maximum number of concurrent connections",
        value<std::size_t>()->default_value("512"));
    add("platform", "host:port of the platform", value<std::string>()->default_value(""));
    add("register", "register the workers with the platform", value<bool>()->default_value("true"));
    add("help", "print this text");
    return options;
}

[[nodiscard]] Result<FleetOptions> readOptions(const cxxopts::ParseResult &arguments)
{
    const auto address = parseHostPort(arguments["listen-base"].as<std::string>());
    if (!address)
        return address.error();
    const auto time = [&](const char *name) {
        return std::chrono::milliseconds(arguments[name].as<int>());
    };
    FleetOptions options;
    options.host = address.value().host;
    options.firstPort = address.value().port;
    options.count = arguments["count"].as<std::size_t>();
    options.namePrefix = arguments["name-prefix"].as<std::string>();
    options.region = arguments["region"].as<std::string>();
    options.dataCentre = arguments["data-centre"].as<std::string>();
    options.rackSize = arguments["rack-size"].as<std::size_t>();
    options.threads = arguments["threads"].as<std::size_t>();
    options.properties.capacity = { arguments["cpu-millis"].as<std::int64_t>(),
                                    arguments["memory-mb"].as<std::int64_t>(),
                                    arguments["accelerators"].as<std::int64_t>() };
    options.properties.serviceTime = time("service-time-ms");
    options.properties.taskTime = time("task-time-ms");
    options.properties.usageDelay = time("usage-lag-ms");
    options.properties.usedShare = arguments["used-share"].as<double>();
    return options;
}

[[nodiscard]] int run(const cxxopts::ParseResult &arguments)
{
    const auto options = readOptions(arguments);
    if (!options) {
        std::cerr << options.error().text() << '\n';
        return 2;
    }
    blockStopSignals();
    Fleet fleet(options.value());
    if (const auto listening = fleet.listen(); !listening) {
        std::cerr << listening.error().text() << '\n';
        return 1;
    }
    const std::string platform = arguments["platform"].as<std::string>();
    if (!platform.empty() && arguments["register"].as<bool>()) {
        if (const auto registered = fleet.registerWith(platform); !registered) {
            std::cerr << registered.error().text() << '\n';
            return 1;
        }
    }
    std::cout << "ready" << std::endl;
    waitForStopSignal();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        cxxopts::Options description = commandLine();
        const cxxopts::ParseResult arguments = description.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << description.help();
            return 0;
        }
        return run(arguments);
    } catch (const std::exception &exception) {
        std::cerr << exception.what() << '\n';
        return 2;
    }
}
