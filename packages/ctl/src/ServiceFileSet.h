#pragma once

#include "siskinspread/ServiceFile.h"

#include <span>
#include <string>
#include <vector>

namespace siskinspread {

/** Service files that were read, and all problems found in them, alone and together. */
struct ServiceFileSet {
    size_t files { 0 }; /**< Files found, whether or not they could be read. */
    std::vector<ServiceDocument> documents; /**< Those without a problem of their own. */
    std::vector<SettingsProblem> problems;
};

/**
 * Reads service files. A directory stands for the files *.toml directly in it, in the order of their names.
 * Together they are checked only when each of them is good alone.
 * Thread safety: reentrant.
 */
ServiceFileSet readServiceFiles(std::span<const std::string> paths, const CheckTogetherOptions& options);

} // namespace siskinspread
