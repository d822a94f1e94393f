#pragma once

#include <filesystem>

namespace siskinspread::testing {

/** A new directory under the test's build directory, removed with its content by the destructor. */
class TempDirectory {
public:
    /** Throws std::runtime_error when the directory can't be made. */
    TempDirectory();
    ~TempDirectory();
    TempDirectory(const TempDirectory&) = delete;
    TempDirectory& operator=(const TempDirectory&) = delete;

    const std::filesystem::path& path() const { return m_path; }

private:
    std::filesystem::path m_path;
};

} // namespace siskinspread::testing
