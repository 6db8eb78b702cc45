#include "deployment.h"
#include "modes.h"

#include <csignal>
#include <exception>
#include <iostream>
#include <map>

/// Stand-ins of the platform, and drivers of the cases: standin3 MODE ARGUMENTS...
int main(int count, char **values)
{
    const std::vector<std::string> arguments(values, values + count);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const std::vector<std::string> rest(arguments.begin() + 2, arguments.end());
        if (arguments.at(1) == "store")
            return review::runStore(rest);
        if (arguments.at(1) == "worker")
            return review::runWorker(rest);
        const std::map<std::string, int (*)(const review::CaseArguments &)> cases{
            { "many-tasks", review::runManyTasks },
            { "many-methods", review::runManyMethods },
            { "many-steps", review::runManySteps },
            { "false-failure", review::runFalseFailure },
            { "waiting-gang", review::runWaitingGang },
            { "quarantine", review::runQuarantine },
        };
        review::Process::killChildrenAtEnd();
        const char *trouble = std::getenv("TROUBLE");
        return cases.at(arguments.at(1))({ arguments.at(0), arguments.at(2), arguments.at(3),
                                           trouble == nullptr || std::string(trouble) != "0" });
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
