#include "SoakReplica.h"

namespace siskinspread::soak {

namespace {

    using std::chrono::milliseconds;

    constexpr uint64_t longestRun = 60; // milliseconds; short, so that many requests meet each fault
    constexpr milliseconds betweenEvents { 25 };
    constexpr milliseconds crashDelay { 40 };
    constexpr milliseconds slowRun { 400 }; // several times the longest usual one
    constexpr uint64_t loseOneOf = 3; // answers, while the replica loses some
    constexpr uint64_t eventsOfStream = SoakBounds {}.eventsOfStream;

} // namespace

SoakReplica::SoakReplica(asio::io_context& context, std::string instance, Ledger& ledger, uint64_t seed)
    : m_context(context)
    , m_acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
    , m_instance(std::move(instance))
    , m_ledger(ledger)
    , m_random(seed)
{
    m_hooks = std::make_shared<CallerConnectionHooks>(CallerConnectionHooks {
        .onRequest = [this](ReceivedRequest&& request) { handle(std::move(request)); },
        .limits = [] { return CallerLimits {}; },
        .closing = [] { return false; },
        .onRefusal = [this](int, std::string_view why) { m_ledger.problems.push_back("bytes at a replica that are no request: " + std::string { why }); },
    });
    accept();
}

void SoakReplica::accept()
{
    m_acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (error) {
            return;
        }
        std::make_shared<CallerConnection>(std::move(socket), m_hooks)->start(std::chrono::steady_clock::now());
        accept();
    });
}

void SoakReplica::restart(std::string instance)
{
    m_instance = std::move(instance);
    m_limit.reset();
}

void SoakReplica::setLimit(std::optional<double> limit)
{
    m_limit = limit;
    m_ledger.replicas[m_instance].limits.push_back({ .from = std::chrono::steady_clock::now(), .perSecond = limit });
}

HttpHeaders SoakReplica::answerHeaders(const std::string& id) const
{
    HttpHeaders headers { { "X-Attempt-Id", id }, { "X-Response-Seal", "s." + id }, { "X-Replica-Id", m_instance } };
    if (m_limit) {
        headers.push_back({ "Server-Limit", std::to_string(*m_limit) });
    }
    return headers;
}

void SoakReplica::handle(ReceivedRequest&& request)
{
    const auto& headers = request.head.headers;
    const std::string id { findHeader(headers, "X-Attempt-Id").value_or("") };
    if (findHeader(headers, "X-Expect-Instance").value_or("") != m_instance) {
        request.connection->respond(421, "Misdirected", { { "X-Attempt-Id", id }, { "X-Not-Executed", "1" } }, "");
        return;
    }
    if (findHeader(headers, "Authorization")) {
        m_ledger.problems.push_back(id + ": a replica was shown an API key");
    }
    auto& attempt = m_ledger.attempts[id];
    m_ledger.replicas[m_instance].arrivals.push_back({ .at = std::chrono::steady_clock::now(), .host = attempt.host });
    if (!m_version.empty()) {
        m_ledger.versions[m_version].arrivals.push_back(m_ledger.replicas[m_instance].arrivals.back());
    }
    if (attempt.kind != RequestKind::Stream) {
        ++attempt.runs;
        if (m_versionFault != VersionFault::None) {
            answerBadly(request.connection, id);
            return;
        }
        later(milliseconds { draw(longestRun) }, [this, connection = request.connection, id] { answer(connection, id); });
        return;
    }
    ++attempt.runs;
    if (attempt.crashesReplicas) {
        m_ledger.crashing.push_back(m_ledger.replicas[m_instance].arrivals.back());
        later(crashDelay, [this, connection = request.connection, instance = m_instance] {
            if (connection->isOpen() && m_instance == instance) { // otherwise the replica has crashed under another request
                m_crash();
            }
        });
    }
    const auto after = findHeader(headers, "Last-Event-Id");
    beginStream(request.connection, id, after ? std::stoull(std::string { *after }) : 0);
}

void SoakReplica::later(milliseconds delay, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
    timer->async_wait([timer, action = std::move(action)](const asio::error_code& cancelled) {
        if (!cancelled) {
            action();
        }
    });
}

void SoakReplica::answer(const std::shared_ptr<CallerConnection>& connection, const std::string& id)
{
    if (!connection->isOpen()) {
        return;
    }
    if (m_losesAnswers && draw(loseOneOf) == 0) {
        connection->abort();
        return;
    }
    connection->respond(200, "OK", answerHeaders(id), "done " + id);
}

void SoakReplica::answerBadly(const std::shared_ptr<CallerConnection>& connection, const std::string& id)
{
    const bool isSlow = m_versionFault == VersionFault::Slow;
    later(milliseconds { draw(longestRun) } + (isSlow ? slowRun : milliseconds { 0 }), [this, connection, id, isSlow] {
        m_ledger.versions[m_version].badAnswers.push_back(std::chrono::steady_clock::now());
        if (isSlow) {
            answer(connection, id);
        } else if (connection->isOpen()) {
            connection->respond(500, "Internal Server Error", answerHeaders(id), "failed");
        }
    });
}

void SoakReplica::beginStream(const std::shared_ptr<CallerConnection>& connection, const std::string& id, uint64_t after)
{
    AnswerHead head { .status = 200, .phrase = "OK", .headers = answerHeaders(id), .framing = BodyFraming::Chunked };
    head.headers.push_back({ "Content-Type", "text/event-stream" });
    connection->beginAnswer(head, false);
    nextEvent(connection, id, after + 1);
}

void SoakReplica::nextEvent(const std::shared_ptr<CallerConnection>& connection, const std::string& id, uint64_t event)
{
    if (!connection->isOpen()) {
        return;
    }
    if (event > eventsOfStream) {
        connection->endAnswer();
        return;
    }
    const auto text = "id: " + std::to_string(event) + "\ndata: " + id + "\n\n";
    if (m_losesAnswers && draw(loseOneOf * eventsOfStream) == 0) {
        connection->sendBody(std::string_view { text }.substr(0, text.size() / 2)); // in the middle of an event
        connection->abort();
        return;
    }
    connection->sendBody(text);
    later(betweenEvents, [this, connection, id, event] { nextEvent(connection, id, event + 1); });
}

} // namespace siskinspread::soak
