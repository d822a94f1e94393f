#pragma once

#include "siskinspread/ExitCode.h"
#include "siskinspread/OperatorApi.h"

#include <iosfwd>
#include <span>
#include <string>

namespace siskinspread {

/** Where a command writes to. */
struct CommandStreams {
    std::ostream& output; /**< Results; with --output json also errors. */
    std::ostream& errors; /**< Errors in text. */
};

/**
 * Parses a command line, runs the command and writes its result.
 * @param arguments the words after the program's name.
 * Thread safety: none; `api` and the streams are used throughout.
 */
ExitCode runCommand(std::span<const std::string> arguments, OperatorApi& api, CommandStreams streams);

} // namespace siskinspread
