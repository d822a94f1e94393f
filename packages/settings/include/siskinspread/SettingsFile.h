#pragma once

#include "siskinspread/LastReason.h"
#include "siskinspread/SettingsProblem.h"

#include "settings.pb.h"

#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace siskinspread {

/**
 * Reads, checks and completes the settings of a daemon. Absent keys that have a default are filled in, so that every
 * number of the result can be used as it stands.
 * @param reason set to InvalidSettings, with all problems as its detail, one a line.
 * @param problems receives the problems found, sorted, when it is not null.
 * Thread safety: reentrant.
 */
std::optional<schema::Settings> loadSettings(const std::filesystem::path& path, LastReason& reason, std::vector<SettingsProblem>* problems = nullptr);

/**
 * Like loadSettings, from the text of a file.
 * @param file the name that problems carry.
 * Thread safety: reentrant.
 */
std::optional<schema::Settings> parseSettings(std::string_view text, const std::string& file, LastReason& reason, std::vector<SettingsProblem>* problems = nullptr);

} // namespace siskinspread
