#include "TempDirectory.h"

#include "Programs.h"

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <stdlib.h>
#include <string>
#include <system_error>

namespace siskinspread::testing {

TempDirectory::TempDirectory()
{
    std::string pattern = (buildDirectory() / "tests" / "process" / "tmp-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("mkdtemp: " + std::string(std::strerror(errno)));
    }
    m_path = pattern;
}

TempDirectory::~TempDirectory()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

} // namespace siskinspread::testing
