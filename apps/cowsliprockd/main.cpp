#include <logging/logging.h>
#include <runtime/daemon.h>
#include <settings/daemonsettings.h>

#include <chrono>
#include <csignal>
#include <iostream>

namespace {

constexpr int exitUsage = 1;
constexpr int exitStartFailed = 2;

/// Blocks SIGTERM and SIGINT in all threads, so that the main thread can wait for them. Ignores
/// SIGPIPE.
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/// Starts a drain on the first signal. Returns when the daemon has finished, or on a second signal.
void waitForShutdown(cowsliprock::Daemon &daemon, const sigset_t &signals)
{
    bool draining = false;
    while (!daemon.finished()) {
        const timespec pollInterval{
            0, std::chrono::nanoseconds(std::chrono::milliseconds(100)).count()
        };
        if (sigtimedwait(&signals, nullptr, &pollInterval) < 0)
            continue;
        if (draining)
            return;
        draining = true;
        cowsliprock::logLine(cowsliprock::LogLevel::Info, "received termination signal; draining");
        daemon.requestDrain();
    }
}

/// Derives the incarnation from the system clock of the VM, so that it increases with each restart
/// of the daemon. It is also the random seed unless the settings give one.
void setIncarnation(cowsliprock::KernelSettings &settings)
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    settings.self.incarnation = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
    if (settings.randomSeed == 0)
        settings.randomSeed = settings.self.incarnation;
}

int run(int argc, char **argv)
{
    const auto arguments = cowsliprock::parseDaemonArguments(argc, argv);
    if (!arguments.has_value()) {
        std::cerr << "cowsliprockd: " << arguments.error().text() << '\n';
        return exitUsage;
    }
    if (arguments.value().help) {
        std::cout << arguments.value().helpText;
        return 0;
    }
    auto settings = cowsliprock::loadDaemonSettings(arguments.value().settingsPath,
                                                    arguments.value().overrides);
    if (!settings.has_value()) {
        std::cerr << "cowsliprockd: " << settings.error().text() << '\n';
        return exitUsage;
    }
    setIncarnation(settings.value().kernel);

    cowsliprock::startLogging(settings.value().logFormat, settings.value().logLevel,
                              settings.value().kernel.self.name.value());
    const sigset_t signals = blockSignals();
    const auto daemon = cowsliprock::Daemon::Builder{ settings.value() }.build();
    if (!daemon.has_value()) {
        std::cerr << "cowsliprockd: " << daemon.error().text() << '\n';
        return exitStartFailed;
    }
    cowsliprock::logLine(cowsliprock::LogLevel::Info, "started");
    waitForShutdown(*daemon.value(), signals);
    cowsliprock::logLine(cowsliprock::LogLevel::Info, "ended");
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &exception) {
        std::cerr << "cowsliprockd: " << exception.what() << '\n';
        return exitUsage;
    }
}
