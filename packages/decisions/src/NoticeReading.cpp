#include "siskinspread/NoticeReading.h"

#include "siskinspread/BackendServerStatus.h"

#include <algorithm>

namespace siskinspread {

namespace {

    constexpr const char* noticesName = "reclaim-notices"; // what the readers are chosen for

} // namespace

bool isNoticeReader(const std::string& self, const std::vector<std::string>& domainHosts, const NoticeReadingOptions& options)
{
    const auto readers = observersOf(noticesName, domainHosts, static_cast<uint32_t>(options.readersOfDomain));
    return std::find(readers.begin(), readers.end(), self) != readers.end();
}

bool isNoticeReadDue(bool isReader, std::optional<MonotonicTime> lastReadAt, const NoticeReadingOptions& options, MonotonicTime now)
{
    return !lastReadAt || now - *lastReadAt >= (isReader ? options.readerInterval : options.otherInterval);
}

} // namespace siskinspread
