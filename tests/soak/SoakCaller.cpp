#include "SoakCaller.h"

namespace siskinspread::soak {

namespace {

    constexpr std::chrono::milliseconds connectTimeout { 1000 };

    std::string_view pathOf(RequestKind kind)
    {
        switch (kind) {
        case RequestKind::Once:
            return "POST /once/1";
        case RequestKind::Repeatable:
            return "GET /read/1";
        case RequestKind::Moving:
            return "GET /moving/1";
        case RequestKind::Stream:
            break;
        }
        return "POST /stream/1";
    }

} // namespace

SoakCaller::SoakCaller(asio::io_context& context, NetworkAddress host, std::string hostName, Ledger& ledger)
    : m_context(context)
    , m_address(std::move(host))
    , m_hostName(std::move(hostName))
    , m_ledger(ledger)
{
}

void SoakCaller::send(const std::string& id, RequestKind kind, const std::string& key, bool crashesReplicas)
{
    m_current = id;
    m_ledger.attempts[id] = { .id = id, .kind = kind, .host = m_hostName, .key = key, .crashesReplicas = crashesReplicas, .sentAt = std::chrono::steady_clock::now() };
    if (!m_connection || !m_connection->isReusable()) {
        m_connection = std::make_shared<ReplicaConnection>(m_context, m_address);
    }
    std::string bytes { pathOf(kind) };
    bytes += " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: " + std::to_string(SoakBounds {}.timeout.count()) + "\r\nAuthorization: Token " + key + "\r\n";
    if (kind == RequestKind::Stream) {
        bytes += "X-Prompt-Prefix: a1:20," + std::string { crashesReplicas ? "dd:10," : "" } + "1:5\r\n";
    }
    bytes += "\r\n";
    m_connection->send(std::move(bytes), nullptr, true, connectTimeout, shared_from_this());
}

void SoakCaller::close()
{
    if (m_connection) {
        m_connection->close();
    }
}

bool SoakCaller::onAnswerHead(AnswerHead&& head)
{
    auto& attempt = m_ledger.attempts[m_current];
    attempt.status = head.status;
    attempt.sealed = findHeader(head.headers, "X-Response-Seal").has_value();
    if (attempt.sealed && findHeader(head.headers, "X-Attempt-Id").value_or("") != m_current) {
        m_ledger.problems.push_back(m_current + ": the answer names another request");
    }
    if (const auto instance = findHeader(head.headers, "X-Replica-Id"); instance && findHeader(head.headers, "Server-Limit")) {
        m_ledger.replicas[std::string { *instance }].told.try_emplace(m_hostName, std::chrono::steady_clock::now());
    }
    return true;
}

void SoakCaller::onAnswerBody(std::string_view bytes)
{
    m_ledger.attempts[m_current].body.append(bytes);
}

void SoakCaller::onAnswerComplete()
{
    end(true);
}

void SoakCaller::onAnswerBroken(ReplicaFailure)
{
    end(false);
}

void SoakCaller::end(bool complete)
{
    auto& attempt = m_ledger.attempts[m_current];
    attempt.complete = complete;
    attempt.endedAt = std::chrono::steady_clock::now();
    m_current.clear();
}

} // namespace siskinspread::soak
