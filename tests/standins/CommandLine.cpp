#include "CommandLine.h"

#include <iostream>

namespace siskinspread::standin {

std::optional<int> parseCommandLine(int argc, char** argv, boost::program_options::options_description& options)
{
    namespace po = boost::program_options;
    options.add_options()("help", "print this help");
    try {
        po::variables_map variables;
        po::store(po::parse_command_line(argc, argv, options), variables);
        if (variables.count("help") > 0) {
            std::cout << options;
            return 0;
        }
        po::notify(variables);
    } catch (const po::error& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
    return std::nullopt;
}

} // namespace siskinspread::standin
