#include "siskinspread/LogCloser.h"

#include "siskinspread/LogReads.h"
#include "siskinspread/RecordCodec.h"

namespace siskinspread {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 100 };

} // namespace

LogCloser::LogCloser(HostContext& context, Timers& timers, const ObjectApiOptions& store)
    : m_context(context)
    , m_timers(timers)
    , m_store(store)
{
}

const LogHistory* LogCloser::find(const IncarnationId& incarnation) const
{
    const auto entry = m_histories.find(incarnation);
    return entry == m_histories.end() ? nullptr : &entry->second;
}

void LogCloser::close(const IncarnationId& incarnation, Done done)
{
    if (const LogHistory* history = find(incarnation)) {
        done(*history);
        return;
    }
    m_waiting[incarnation].push_back(std::move(done));
    if (m_open.contains(incarnation)) {
        return;
    }
    LogClosingState state;
    state.self = m_context.incarnation;
    state.purpose = ClosingPurpose::Close;
    state.history.incarnation = incarnation;
    m_open.emplace(incarnation, std::move(state));
    scheduleTick(incarnation);
    raise(incarnation, StartClosing {});
}

void LogCloser::scheduleTick(const IncarnationId& incarnation)
{
    m_timers.schedule(m_context.now + tickInterval, [this, incarnation] {
        if (m_open.contains(incarnation)) {
            scheduleTick(incarnation);
            raise(incarnation, LogTick {});
        }
    });
}

void LogCloser::raise(const IncarnationId& incarnation, const LogClosingEvent& event)
{
    const auto entry = m_open.find(incarnation);
    if (entry == m_open.end()) {
        return;
    }
    std::vector<LogClosingAction> actions;
    step(entry->second, m_options, event, m_context.now, m_context.wall, actions);
    for (const LogClosingAction& action : actions) {
        std::visit([this, &incarnation](const auto& a) { run(incarnation, a); }, action);
    }
}

void LogCloser::run(const IncarnationId& incarnation, const ReadBatch& action)
{
    readLogBatch(m_context, m_store, action, [this, incarnation](const LogClosingEvent& event) { raise(incarnation, event); });
}

void LogCloser::run(const IncarnationId& incarnation, const CreateBatch& action)
{
    m_context.platform.start(createObject(m_store, logBatchName(action.batch.incarnation, action.batch.number), encodeLogBatch(action.batch)),
        [this, incarnation](const ClientEvent&) { raise(incarnation, CreateEnded {}); });
}

void LogCloser::run(const IncarnationId& incarnation, const ReadSealedCopy& action)
{
    readSealedCopy(m_context, m_store, action, [this, incarnation](const LogClosingEvent& event) { raise(incarnation, event); });
}

void LogCloser::run(const IncarnationId& incarnation, const CreateSealedCopy& action)
{
    m_context.platform.start(createObject(m_store, sealedCopyName(action.copy.incarnation), encodeSealedCopy(action.copy)),
        [this, incarnation](const ClientEvent&) { raise(incarnation, CreateEnded {}); });
}

void LogCloser::run(const IncarnationId& incarnation, const SealCopies& action)
{
    sealCopies(action, [this, incarnation](const LogClosingEvent& event) { raise(incarnation, event); });
}

void LogCloser::run(const IncarnationId& incarnation, const HistoryRead&)
{
    const auto entry = m_open.find(incarnation);
    const LogHistory& history = m_histories.emplace(incarnation, std::move(entry->second.history)).first->second;
    m_open.erase(entry);
    const std::vector<Done> waiting = std::move(m_waiting[incarnation]);
    m_waiting.erase(incarnation);
    for (const Done& done : waiting) {
        done(history);
    }
}

} // namespace siskinspread
