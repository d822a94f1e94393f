#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace siskinspread {

/** One fault found in a settings file, a service file or a published configuration. */
struct SettingsProblem {
    std::string file; /**< As it was named to the loader. */
    uint32_t line { 0 }; /**< Counted from 1; 0 when the fault has no place in a file. */
    std::string key; /**< For example "peers[1].peer_port"; empty for the whole file. */
    std::string text; /**< What is wrong and what is allowed. */
    bool operator==(const SettingsProblem&) const = default;
};

/** Line of each key of one TOML document, by the form of key that SettingsProblem uses. */
using KeyLines = std::map<std::string, uint32_t>;

/**
 * @return the line of `key`, or of the nearest table around it when the key itself is absent, or 0 when `lines` is empty.
 * Thread safety: reentrant.
 */
uint32_t lineOfKey(const KeyLines& lines, std::string_view key);

/** @return "file:line: key: text", without the parts that are empty. Thread safety: reentrant. */
std::string formatProblem(const SettingsProblem& problem);

/** @return one line for each problem, joined by newlines. Thread safety: reentrant. */
std::string formatProblems(std::span<const SettingsProblem> problems);

/** Sorts by file, then line, then key. Thread safety: reentrant. */
void sortProblems(std::vector<SettingsProblem>& problems);

} // namespace siskinspread
