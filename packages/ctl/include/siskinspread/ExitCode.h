#pragma once

#include "siskinspread/ResultCode.h"

#include <cstdint>

namespace siskinspread {

/** Exit codes of siskinctl; docs/OPERATORS.md lists them. */
enum class ExitCode : uint8_t {
    Success = 0,
    Invalid = 1, /**< Files or settings have problems. */
    Usage = 2, /**< The command line was not understood. */
    Refused = 3, /**< The other side refused: another publish won, or the file is older than what is published. */
    Unavailable = 4, /**< No answer from the platform or from any entry host. */
    NotFound = 5, /**< No such request, host or backend server. */
    NotYet = 6, /**< Done, but what --wait waits for had not come about in time. */
    Internal = 7, /**< A fault of the program. */
};

/** @return the exit code for an operation that failed for this reason. Thread safety: reentrant. */
ExitCode exitCodeFor(ResultCode reason);

} // namespace siskinspread
