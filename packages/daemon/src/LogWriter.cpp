#include "siskinspread/LogWriter.h"

#include "siskinspread/RecordCodec.h"

#include <algorithm>

namespace siskinspread {

namespace {

    // Shares of the store's several hundred writes a second, for entries that nobody waits for and for those that somebody does.
    constexpr double lazyWritesPerSecond = 40;
    constexpr double urgentWritesPerSecond = 160;
    constexpr std::chrono::milliseconds shortestLazyInterval { 2000 };
    constexpr std::chrono::milliseconds shortestUrgentInterval { 20 };

    IncarnationLogOptions optionsFor(size_t hosts, size_t owners)
    {
        IncarnationLogOptions options;
        options.lazyInterval = std::max(shortestLazyInterval, writeInterval(lazyWritesPerSecond, hosts));
        options.urgentInterval = std::max(shortestUrgentInterval, writeInterval(urgentWritesPerSecond, owners));
        return options;
    }

} // namespace

LogWriter::LogWriter(HostContext& context, const ObjectApiOptions& store)
    : m_context(context)
    , m_store(store)
    , m_options(optionsFor(static_cast<size_t>(context.settings.peers_size()) + 1, static_cast<size_t>(context.settings.peers_size()) + 1))
{
    m_state.self = context.incarnation;
    m_state.startMark = std::to_string(std::chrono::system_clock::now().time_since_epoch().count());
}

void LogWriter::append(LogEntry entry, Done done)
{
    const uint64_t token = ++m_lastToken;
    if (done) {
        m_waiting.emplace(token, std::move(done));
    }
    raise(AppendEntry { .token = token, .entry = std::move(entry) });
}

void LogWriter::close()
{
    raise(CloseRequested { .at = m_context.wall });
}

void LogWriter::tick()
{
    raise(LogTick {});
}

std::optional<MonotonicTime> LogWriter::nextTick() const
{
    if (m_state.waiting.empty() || m_state.phase != BatchPhase::Idle || !m_state.lastWrite) {
        return std::nullopt;
    }
    const MonotonicTime next = *m_state.lastWrite + m_options.urgentInterval;
    // Once it has passed, what still waits is not urgent and needs no time of its own.
    return next > m_context.now ? std::optional { next } : std::nullopt;
}

void LogWriter::raise(const IncarnationLogEvent& event)
{
    std::vector<IncarnationLogAction> actions;
    step(m_state, m_options, event, m_context.now, actions);
    for (const IncarnationLogAction& action : actions) {
        std::visit([this](const auto& a) { run(a); }, action);
    }
}

void LogWriter::run(const CreateBatch& action)
{
    const uint64_t number = action.batch.number;
    m_context.platform.start(createObject(m_store, logBatchName(action.batch.incarnation, number), encodeLogBatch(action.batch)),
        [this, number](const ClientEvent& event) { created(number, std::get<TransferEnded>(event)); });
}

void LogWriter::created(uint64_t number, const TransferEnded& ended)
{
    switch (storeResult(ended, true)) {
    case StoreResult::Done:
        m_context.metrics.countStoreCall(StorePurpose::IncarnationLog, StoreOutcome::Answered);
        raise(BatchCreated { .number = number });
        return;
    case StoreResult::Conflict:
        m_context.metrics.countStoreCall(StorePurpose::IncarnationLog, StoreOutcome::Conflict);
        raise(BatchExists { .number = number });
        return;
    default:
        m_context.metrics.countStoreCall(StorePurpose::IncarnationLog, StoreOutcome::Unavailable);
        raise(BatchUncertain { .number = number });
    }
}

void LogWriter::run(const ReadBatch& action)
{
    const uint64_t number = action.number;
    m_context.platform.start(readObject(m_store, logBatchName(action.incarnation, number)),
        [this, number](const ClientEvent& event) { read(number, std::get<TransferEnded>(event)); });
}

void LogWriter::read(uint64_t number, const TransferEnded& ended)
{
    const StoreResult result = storeResult(ended, false);
    const bool answered = result == StoreResult::Done || result == StoreResult::Absent;
    m_context.metrics.countStoreCall(StorePurpose::IncarnationLog, answered ? StoreOutcome::Answered : StoreOutcome::Unavailable);
    if (result == StoreResult::Absent) {
        raise(BatchRead { .number = number, .writer = std::nullopt });
        return;
    }
    LastReason reason;
    const auto batch = result == StoreResult::Done ? decodeLogBatch(ended.body, reason) : std::nullopt;
    if (!batch) {
        raise(BatchReadFailed { .number = number });
        return;
    }
    raise(BatchRead { .number = number, .writer = batch->writer });
}

void LogWriter::chooseHolder(const IncarnationId& holder)
{
    raise(CopyHolderChosen { .holder = holder });
}

void LogWriter::run(const SendCopies& action)
{
    if (sendCopies) {
        sendCopies(action, [this](const IncarnationLogEvent& event) { raise(event); });
    }
}

void LogWriter::run(const EntryDurable& action)
{
    complete(action.token, true, ResultCode::Ok);
}

void LogWriter::run(const EntryRefused& action)
{
    complete(action.token, false, action.reason);
}

void LogWriter::complete(uint64_t token, bool durable, ResultCode code)
{
    const auto entry = m_waiting.find(token);
    if (entry == m_waiting.end()) {
        return;
    }
    const Done done = std::move(entry->second);
    m_waiting.erase(entry);
    done(durable, code);
}

void LogWriter::run(const LogEnded& action) const
{
    if (onEnded) {
        onEnded(action.planned);
    }
}

void LogWriter::run(const CopyHolderNeeded&) const
{
    // CopyDesk::keepHolder sees that none is declared and chooses another one.
}

} // namespace siskinspread
