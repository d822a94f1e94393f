#pragma once

#include "siskinspread/Accounts.h"
#include "siskinspread/DutyLease.h"
#include "siskinspread/IncarnationLogEntries.h"
#include "siskinspread/LastReason.h"
#include "siskinspread/SliceMap.h"

#include <optional>
#include <string>
#include <string_view>

namespace siskinspread {

/**
 * Durable records to and from the binary form of schema/records.proto. Decoding returns nothing, with the reason
 * InternalError, for bytes that are not such a message. Thread safety: reentrant.
 */
std::string encodeLogBatch(const LogBatch&);
std::optional<LogBatch> decodeLogBatch(std::string_view bytes, LastReason&);
std::string encodeSealedCopy(const SealedCopy&);
std::optional<SealedCopy> decodeSealedCopy(std::string_view bytes, LastReason&);
std::string encodeSliceMap(const SliceMap&);
std::optional<SliceMap> decodeSliceMap(std::string_view bytes, LastReason&);
std::string encodeLeaseRecord(const LeaseRecord&);
std::optional<LeaseRecord> decodeLeaseRecord(std::string_view bytes, LastReason&);
std::string encodeAccountAnswer(const AccountAnswer&);
std::optional<AccountAnswer> decodeAccountAnswer(std::string_view bytes, LastReason&);

/** Content type of a record in an HTTP body. */
constexpr const char* recordContentType = "application/x-protobuf";

/** @return the name of a batch's object: log/INCARNATION/NUMBER with 8 digits. */
std::string logBatchName(const IncarnationId&, uint64_t number);

/** @return the name of the object that holds the sealed copies of an incarnation's log. */
std::string sealedCopyName(const IncarnationId&);

/** @return the name of the object that holds a duty's lease. */
std::string leaseName(std::string_view duty);

} // namespace siskinspread
