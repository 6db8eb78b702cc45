#include <cli/program.h>

#include <iostream>
#include <string>
#include <vector>

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const cowsliprock::cli::Program program{ cowsliprock::cli::httpTransport(), std::cout,
                                             std::cerr };
    return static_cast<int>(program.run(arguments));
}
