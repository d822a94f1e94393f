#include "ServiceFileSet.h"

#include <algorithm>
#include <filesystem>
#include <set>
#include <system_error>

namespace siskinspread {

namespace {

    namespace fs = std::filesystem;

    std::vector<fs::path> tomlFilesIn(const fs::path& directory, std::vector<SettingsProblem>& problems)
    {
        std::vector<fs::path> files;
        std::error_code error;
        for (fs::directory_iterator entry { directory, error }; !error && entry != fs::directory_iterator {}; entry.increment(error)) {
            if (entry->path().extension() == ".toml") {
                files.push_back(entry->path());
            }
        }
        if (error) {
            problems.push_back({ .file = directory.string(), .line = 0, .key = {}, .text = "cannot be read: " + error.message() });
        } else if (files.empty()) {
            problems.push_back({ .file = directory.string(), .line = 0, .key = {}, .text = "holds no *.toml file" });
        }
        std::ranges::sort(files);
        return files;
    }

    /** A file that is named twice, itself and by its directory, is taken once. */
    std::vector<fs::path> expand(std::span<const std::string> paths, std::vector<SettingsProblem>& problems)
    {
        std::vector<fs::path> files;
        std::set<fs::path> seen;
        const auto add = [&](const fs::path& file) {
            std::error_code error;
            const fs::path canonical = fs::weakly_canonical(file, error);
            if (seen.insert(error ? file : canonical).second) {
                files.push_back(file);
            }
        };
        for (const std::string& path : paths) {
            std::error_code error;
            if (fs::is_directory(path, error)) {
                std::ranges::for_each(tomlFilesIn(path, problems), add);
            } else {
                add(path);
            }
        }
        return files;
    }

} // namespace

ServiceFileSet readServiceFiles(std::span<const std::string> paths, const CheckTogetherOptions& options)
{
    ServiceFileSet set;
    for (const fs::path& file : expand(paths, set.problems)) {
        ++set.files;
        LastReason reason;
        std::vector<SettingsProblem> problems;
        if (std::optional<ServiceDocument> document = loadServiceDocument(file, reason, &problems)) {
            set.documents.push_back(std::move(*document));
        }
        set.problems.insert(set.problems.end(), problems.begin(), problems.end());
    }
    if (set.problems.empty()) {
        set.problems = checkTogether(set.documents, options);
    }
    return set;
}

} // namespace siskinspread
