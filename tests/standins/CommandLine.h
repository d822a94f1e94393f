#pragma once

#include <boost/program_options.hpp>

#include <optional>

namespace siskinspread::standin {

/**
 * Adds --help and parses the command line into the variables bound in `options`.
 * @return the exit code when the program should end: after --help or an error, which is printed.
 */
std::optional<int> parseCommandLine(int argc, char** argv, boost::program_options::options_description& options);

} // namespace siskinspread::standin
