#include "siskinspread/SettingsProblem.h"

#include <algorithm>
#include <tuple>

namespace siskinspread {

uint32_t lineOfKey(const KeyLines& lines, std::string_view key)
{
    while (!key.empty()) {
        const auto found = lines.find(std::string { key });
        if (found != lines.end()) {
            return found->second;
        }
        const size_t end = key.find_last_of(".[");
        key = end == std::string_view::npos ? std::string_view {} : key.substr(0, end);
    }
    return lines.empty() ? 0 : 1;
}

std::string formatProblem(const SettingsProblem& problem)
{
    std::string line = problem.file;
    if (problem.line) {
        line += ":" + std::to_string(problem.line);
    }
    if (!problem.key.empty()) {
        line += ": " + problem.key;
    }
    return line + ": " + problem.text;
}

std::string formatProblems(std::span<const SettingsProblem> problems)
{
    std::string text;
    for (const SettingsProblem& problem : problems) {
        if (!text.empty()) {
            text += '\n';
        }
        text += formatProblem(problem);
    }
    return text;
}

void sortProblems(std::vector<SettingsProblem>& problems)
{
    std::ranges::stable_sort(problems, [](const SettingsProblem& left, const SettingsProblem& right) {
        return std::tie(left.file, left.line, left.key) < std::tie(right.file, right.line, right.key);
    });
}

} // namespace siskinspread
