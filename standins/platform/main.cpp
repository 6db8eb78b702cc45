#include <kernel/serialization.h>
#include <standinplatform/platformserver.h>

#include <cxxopts.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace cowsliprock;
using namespace cowsliprock::standin;

[[nodiscard]] cxxopts::Options commandLine()
{
    cxxopts::Options options("standin-platform",
                             "Simulated store and VM list of the platform, for tests");
    options.add_options()("listen", "host:port to listen on",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:7400"))(
        "vms", "JSON file with the initial VM list", cxxopts::value<std::string>())(
        "vm-list-lag-ms", "delay before changes of the VM list become visible",
        cxxopts::value<int>()->default_value("0"))(
        "threads", "maximum number of concurrent connections and pending watches",
        cxxopts::value<std::size_t>()->default_value("64"))("help", "print this text");
    return options;
}

[[nodiscard]] Result<std::vector<VmEntry>> readVms(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file)
        return Error{ ErrorKind::NotFound, "vms.read", path, {} };
    return decodeVmList(text.str());
}

[[nodiscard]] Result<PlatformOptions> readOptions(const cxxopts::ParseResult &arguments)
{
    PlatformOptions options;
    const auto address = parseHostPort(arguments["listen"].as<std::string>());
    if (!address)
        return address.error();
    options.host = address.value().host;
    options.port = address.value().port;
    options.threads = arguments["threads"].as<std::size_t>();
    options.vmListDelay = std::chrono::milliseconds(arguments["vm-list-lag-ms"].as<int>());
    if (arguments.count("vms") > 0) {
        auto vms = readVms(arguments["vms"].as<std::string>());
        if (!vms)
            return vms.error();
        options.vms = std::move(vms).value();
    }
    return options;
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
        const auto options = readOptions(arguments);
        if (!options) {
            std::cerr << options.error().text() << '\n';
            return 2;
        }
        blockStopSignals();
        PlatformServer server(options.value());
        if (const auto port = server.listen(); !port) {
            std::cerr << port.error().text() << '\n';
            return 1;
        }
        std::cout << "ready" << std::endl;
        waitForStopSignal();
        return 0;
    } catch (const std::exception &exception) {
        std::cerr << exception.what() << '\n';
        return 2;
    }
}
