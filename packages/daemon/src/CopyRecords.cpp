#include "CopyRecords.h"

#include "siskinspread/Hex.h"
#include "siskinspread/RecordCodec.h"

namespace siskinspread {

std::string encodeRecords(const IncarnationId& owner, const std::vector<LogRecord>& records)
{
    return toHex(encodeLogBatch({ .incarnation = owner, .number = 0, .writer = owner, .records = records }));
}

std::optional<std::vector<LogRecord>> decodeRecords(const std::string& text)
{
    LastReason reason;
    auto batch = decodeLogBatch(fromHex(text), reason);
    if (!batch) {
        return std::nullopt;
    }
    return std::move(batch->records);
}

} // namespace siskinspread
