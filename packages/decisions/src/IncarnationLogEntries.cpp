#include "siskinspread/IncarnationLogEntries.h"

namespace siskinspread {

namespace {

    /** Fixed fields, field names and separators of one entry. */
    constexpr size_t entryOverheadBytes = 256;

    size_t sizeOf(const RequestId& id)
    {
        return id.incarnation.text.size() + 20;
    }

    size_t sizeOf(const std::vector<std::string>& names)
    {
        size_t bytes = 0;
        for (const std::string& name : names) {
            bytes += name.size() + 4;
        }
        return bytes;
    }

    size_t sizeOf(const IntentEntry& entry)
    {
        return sizeOf(entry.request) + sizeOf(entry.candidates) + entry.key.customer.size() + entry.key.text.size() + entry.service.size() + entry.entryHost.size();
    }

    size_t sizeOf(const AccountEntry& entry)
    {
        return sizeOf(entry.request) + entry.customer.size() + entry.service.size() + entry.entryHost.size() + sizeOf(entry.backendServers) + sizeOf(entry.candidates);
    }

    size_t sizeOf(const OutcomeEntry& entry)
    {
        // The response counts double: binary content grows in a text encoding.
        return sizeOf(entry.account) + entry.key.customer.size() + entry.key.text.size() + 2 * entry.response.size();
    }

    size_t sizeOf(const HandedOverEntry& entry)
    {
        return sizeOf(entry.request) + sizeOf(entry.as);
    }

    size_t sizeOf(const CopyHolderEntry& entry)
    {
        return entry.holder.text.size();
    }

    size_t sizeOf(const ClosingEntry& entry)
    {
        return entry.by.text.size();
    }

} // namespace

size_t encodedSize(const LogEntry& entry)
{
    return entryOverheadBytes + std::visit([](const auto& value) { return sizeOf(value); }, entry);
}

bool isUrgent(const LogEntry& entry)
{
    return !std::holds_alternative<AccountEntry>(entry);
}

bool isCopied(const LogEntry& entry)
{
    return std::holds_alternative<IntentEntry>(entry) || std::holds_alternative<OutcomeEntry>(entry);
}

const ClosingEntry* closingEntry(const LogBatch& batch)
{
    return batch.records.empty() ? nullptr : std::get_if<ClosingEntry>(&batch.records.back().entry);
}

} // namespace siskinspread
