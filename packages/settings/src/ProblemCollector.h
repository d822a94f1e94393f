#pragma once

#include "siskinspread/SettingsProblem.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace siskinspread {

/** Gathers the problems of one document and finds the line of each. Thread safety: none. */
class ProblemCollector {
public:
    /** The references must outlive the collector. */
    ProblemCollector(std::string file, const KeyLines& lines, std::vector<SettingsProblem>& problems)
        : m_file(std::move(file))
        , m_lines(lines)
        , m_problems(problems)
    {
    }

    /** Adds a problem, unless one was already found at the same key. */
    void add(const std::string& key, std::string text)
    {
        if (has(key)) {
            return;
        }
        m_problems.push_back({ .file = m_file, .line = lineOfKey(m_lines, key), .key = key, .text = std::move(text) });
    }

private:
    bool has(const std::string& key) const
    {
        return std::ranges::any_of(m_problems, [&](const SettingsProblem& problem) {
            return problem.file == m_file && problem.key == key;
        });
    }

    std::string m_file;
    const KeyLines& m_lines;
    std::vector<SettingsProblem>& m_problems;
};

/** @return the key of `name` in the table `parent`; an empty `parent` is the whole document. */
inline std::string joinKey(const std::string& parent, std::string_view name)
{
    return parent.empty() ? std::string { name } : parent + "." + std::string { name };
}

/** @return the key of entry `index` of the list `list`. */
inline std::string indexKey(const std::string& list, size_t index)
{
    return list + "[" + std::to_string(index) + "]";
}

} // namespace siskinspread
