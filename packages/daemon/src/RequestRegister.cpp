#include "siskinspread/RequestRegister.h"

namespace siskinspread {

RequestRegister::RequestRegister(HostContext& context, LogWriter& log)
    : m_context(context)
    , m_log(log)
{
}

std::string RequestRegister::refusalId()
{
    return m_context.incarnation.text + std::string { refusalMark } + std::to_string(++m_lastRefusal);
}

RequestId RequestRegister::issueId(bool needsIntent)
{
    m_lastSequence = nextSequence(m_lastSequence, needsIntent);
    return { .incarnation = m_context.incarnation, .sequence = m_lastSequence };
}

RequestId RequestRegister::accept(const std::string& customer, const std::string& service)
{
    RequestId id = issueId(false);
    AccountEntry account;
    account.request = id;
    account.customer = customer;
    account.service = service;
    account.acceptedAt = m_context.wall;
    account.entryHost = m_context.settings.host().name();
    m_open.emplace(id, std::move(account));
    m_context.metrics.changeOpenRequests(1);
    return id;
}

void RequestRegister::recordAttempt(const RequestId& id, const std::string& backendServer)
{
    const auto entry = m_open.find(id);
    if (entry == m_open.end()) {
        return;
    }
    ++entry->second.attempts;
    entry->second.backendServers.push_back(backendServer);
}

void RequestRegister::finish(const RequestId& id, ResultCode result, RunState runState)
{
    const auto entry = m_open.find(id);
    if (entry == m_open.end()) {
        return;
    }
    AccountEntry account = std::move(entry->second);
    m_open.erase(entry);
    account.result = result;
    account.runState = runState;
    account.finishedAt = m_context.wall;
    m_context.metrics.changeOpenRequests(-1);
    m_context.metrics.countRequest(account.service, result);
    m_context.log.write({
        .level = LogLevel::Info,
        .message = "request finished",
        .requestId = id,
        .code = result,
        .fields = { { .name = "service", .value = account.service }, { .name = "attempts", .value = account.attempts } },
    });
    m_recording.emplace(id, account);
    m_log.append(std::move(account), [this, id](bool, ResultCode) { m_recording.erase(id); });
}

void RequestRegister::handOver(const RequestId& id, const RequestId& newId, std::function<void()> done)
{
    if (!m_open.contains(id)) {
        return;
    }
    m_log.append(HandedOverEntry { .request = id, .as = newId }, [this, id, newId, done = std::move(done)](bool, ResultCode) {
        const auto entry = m_open.find(id);
        if (entry == m_open.end()) {
            return; // it ended meanwhile
        }
        m_context.metrics.changeOpenRequests(-1);
        m_context.metrics.countRequest(entry->second.service, ResultCode::HandedOver);
        m_context.log.write({ .level = LogLevel::Info, .message = "request handed over", .requestId = id, .code = ResultCode::HandedOver, .fields = { { .name = "new_id", .value = formatRequestId(newId) } } });
        m_open.erase(entry);
        done();
    });
}

std::optional<AccountAnswer> RequestRegister::find(const RequestId& id) const
{
    AccountAnswer answer;
    answer.request = id;
    answer.recordedBy = m_context.incarnation.text;
    if (const auto open = m_open.find(id); open != m_open.end()) {
        answer.standing = AccountStanding::InProgress;
        answer.account = open->second;
        return answer;
    }
    if (const auto recording = m_recording.find(id); recording != m_recording.end()) {
        answer.standing = AccountStanding::Provisional;
        answer.account = recording->second;
        return answer;
    }
    return std::nullopt;
}

} // namespace siskinspread
