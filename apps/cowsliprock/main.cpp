#include <cli/program.h>

#include <csignal>
#include <iostream>
#include <string>
#include <vector>

int main(int argc, char **argv)
{
    // A daemon that refuses a large body may close the connection while it is still being sent.
    std::signal(SIGPIPE, SIG_IGN);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const cowsliprock::cli::Program program{ cowsliprock::cli::httpTransport(), std::cout,
                                             std::cerr };
    return static_cast<int>(program.run(arguments));
}
