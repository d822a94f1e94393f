#pragma once

#include "siskinspread/IncarnationLogEntries.h"

/** @file Internal: entries of an incarnation log as they stand in JSON-RPC between hosts. */

namespace siskinspread {

/** @return the text form. Thread safety: reentrant. */
std::string encodeRecords(const IncarnationId& owner, const std::vector<LogRecord>& records);

/** @return the records, or nothing when the text is malformed. Thread safety: reentrant. */
std::optional<std::vector<LogRecord>> decodeRecords(const std::string& text);

} // namespace siskinspread
