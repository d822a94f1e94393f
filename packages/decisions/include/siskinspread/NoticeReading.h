#pragma once

#include "siskinspread/Time.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace siskinspread {

/** How often a host reads the notices of the cloud API. */
struct NoticeReadingOptions {
    size_t readersOfDomain { 2 }; /**< Hosts of each failure domain that read for all. */
    std::chrono::milliseconds readerInterval { 1'000 };
    /** Between reads of every other host: for itself when nobody passes its notice on, and so that it reads little when it becomes a reader. */
    std::chrono::milliseconds otherInterval { 30'000 };
};

/**
 * @param domainHosts the live hosts of the own failure domain, the own one included.
 * @return whether `self` is one of the domain's readers, by rendezvous hash. Thread safety: reentrant.
 */
bool isNoticeReader(const std::string& self, const std::vector<std::string>& domainHosts, const NoticeReadingOptions& options);

/** @return whether a read is due. @param lastReadAt empty before the first. Thread safety: reentrant. */
bool isNoticeReadDue(bool isReader, std::optional<MonotonicTime> lastReadAt, const NoticeReadingOptions& options, MonotonicTime now);

} // namespace siskinspread
