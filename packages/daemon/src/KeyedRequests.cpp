#include "siskinspread/KeyedRequests.h"

#include <algorithm>
#include <charconv>

namespace siskinspread {

namespace {

    constexpr size_t maxKeyBytes = 256;
    constexpr int statusOk = 200;
    constexpr std::chrono::milliseconds ownerConnectTimeout { 500 };
    // The owner answers at the deadline by itself; this is for the way back.
    constexpr std::chrono::milliseconds relayMargin { 2000 };

    namespace relay_header {
        constexpr const char* customer = "X-Relay-Customer";
        constexpr const char* service = "X-Relay-Service";
        constexpr const char* method = "X-Relay-Method";
        constexpr const char* path = "X-Relay-Path";
        constexpr const char* entryHost = "X-Relay-Entry-Host";
        constexpr const char* httpStatus = "X-Relay-Http-Status";
        constexpr const char* retryAfter = "X-Relay-Retry-After-Ms";
        constexpr const char* repeatOf = "X-Relay-Repeat-Of";
        constexpr const char* responseKept = "X-Relay-Response-Kept";
    }

    std::string text(const HttpHeaders& headers, const char* name)
    {
        return std::string { findHeader(headers, name).value_or("") };
    }

    int64_t number(const HttpHeaders& headers, const char* name, int64_t otherwise)
    {
        const auto value = findHeader(headers, name);
        int64_t result = otherwise;
        if (value) {
            std::from_chars(value->data(), value->data() + value->size(), result);
        }
        return result;
    }

    StartTransfer relayTransfer(const schema::PeerSettings& owner, const OwnedRequest& request)
    {
        StartTransfer transfer;
        transfer.method = "POST";
        transfer.url = "http://" + owner.address() + ":" + std::to_string(owner.peer_port()) + executePath;
        transfer.headers = {
            { .name = relay_header::customer, .value = request.key.customer },
            { .name = header::idempotencyKey, .value = request.key.text },
            { .name = relay_header::service, .value = request.service },
            { .name = relay_header::method, .value = request.method },
            { .name = relay_header::path, .value = request.path },
            { .name = relay_header::entryHost, .value = request.entryHost },
            { .name = header::deadline, .value = std::to_string(request.timeLeft.count()) },
        };
        transfer.body = request.body;
        transfer.connectTimeout = ownerConnectTimeout;
        transfer.totalTimeout = request.timeLeft + relayMargin;
        transfer.freshConnection = true;
        return transfer;
    }

    OwnedRequest relayedRequest(const IncomingRequest& incoming)
    {
        return {
            .key = { .customer = text(incoming.headers, relay_header::customer), .text = text(incoming.headers, header::idempotencyKey) },
            .service = text(incoming.headers, relay_header::service),
            .method = text(incoming.headers, relay_header::method),
            .path = text(incoming.headers, relay_header::path),
            .body = incoming.body,
            .entryHost = text(incoming.headers, relay_header::entryHost),
            .timeLeft = std::chrono::milliseconds { number(incoming.headers, header::deadline, 0) },
        };
    }

    RespondWhole relayedAnswer(ExchangeId exchange, const AnswerRequest& answer)
    {
        RespondWhole response { .exchange = exchange, .status = statusOk, .headers = {}, .body = answer.response };
        response.headers = {
            { .name = header::requestId, .value = answer.id },
            { .name = header::resultCode, .value = std::to_string(static_cast<int>(answer.result)) },
            { .name = header::runState, .value = std::to_string(static_cast<int>(answer.runState)) },
            { .name = relay_header::httpStatus, .value = std::to_string(answer.httpStatus) },
            { .name = relay_header::responseKept, .value = std::to_string(static_cast<int>(answer.responseKept)) },
        };
        if (answer.retryAfter) {
            response.headers.push_back({ .name = relay_header::retryAfter, .value = std::to_string(answer.retryAfter->count()) });
        }
        if (answer.repeatOf) {
            response.headers.push_back({ .name = relay_header::repeatOf, .value = formatRequestId(*answer.repeatOf) });
        }
        return response;
    }

    std::optional<AnswerRequest> answerOfOwner(const TransferEnded& ended)
    {
        const std::string id = text(ended.headers, header::requestId);
        if (ended.status != statusOk || id.empty()) {
            return std::nullopt;
        }
        AnswerRequest answer;
        answer.id = id;
        answer.result = static_cast<ResultCode>(number(ended.headers, header::resultCode, static_cast<int>(ResultCode::InternalError)));
        answer.runState = static_cast<RunState>(number(ended.headers, header::runState, static_cast<int>(RunState::MayHaveRun)));
        answer.httpStatus = static_cast<int>(number(ended.headers, relay_header::httpStatus, 0));
        answer.responseKept = number(ended.headers, relay_header::responseKept, 1);
        answer.response = ended.body;
        if (const int64_t retryAfter = number(ended.headers, relay_header::retryAfter, 0)) {
            answer.retryAfter = std::chrono::milliseconds { retryAfter };
        }
        LastReason reason;
        answer.repeatOf = parseRequestId(text(ended.headers, relay_header::repeatOf), reason);
        return answer;
    }

} // namespace

KeyedRequests::KeyedRequests(HostContext& context, Parts parts)
    : m_context(context)
    , m_parts(parts)
{
}

void KeyedRequests::accept(const IncomingRequest& incoming, const OwnedRequest& request)
{
    const ExchangeId exchange = incoming.exchange;
    if (request.key.text.empty()) {
        refuse(exchange, { .code = ResultCode::IdempotencyKeyRequired });
        return;
    }
    if (request.key.text.size() > maxKeyBytes) {
        refuse(exchange, { .code = ResultCode::MalformedRequest, .detail = "an idempotency key has at most 256 bytes" });
        return;
    }
    const auto owners = m_parts.slices.ownersOfKey(request.key);
    if (owners.empty()) {
        refuse(exchange, { .code = ResultCode::SliceOwnerUnknown });
        return;
    }
    if (owners.front() == m_context.incarnation) {
        m_parts.desk.submit(request, [this, exchange](const AnswerRequest& answer) { answerCaller(exchange, answer); });
        return;
    }
    const schema::PeerSettings* owner = findPeer(m_context.settings, hostOf(owners.front()));
    if (!owner) {
        refuse(exchange, { .code = ResultCode::SliceOwnerUnreachable });
        return;
    }
    relay(exchange, *owner, request);
}

void KeyedRequests::relay(ExchangeId exchange, const schema::PeerSettings& owner, const OwnedRequest& request)
{
    const TransferId transfer = m_context.peers.start(relayTransfer(owner, request), [this, exchange](const ClientEvent& event) { onRelayEnded(exchange, std::get<TransferEnded>(event)); });
    m_relays.emplace(exchange, Relay { .request = request, .transfer = transfer });
}

void KeyedRequests::expireRelays()
{
    while (!m_relays.empty()) {
        const auto [exchange, relay] = *m_relays.begin();
        m_context.peers.cancel(relay.transfer);
        onRelayEnded(exchange, { .end = TransferEnd::Broken, .headers = {}, .body = {}, .detail = {} });
    }
}

void KeyedRequests::onRelayEnded(ExchangeId exchange, const TransferEnded& ended)
{
    const auto entry = m_relays.find(exchange);
    if (entry == m_relays.end()) {
        return;
    }
    const OwnedRequest request = std::move(entry->second.request);
    m_relays.erase(entry);
    if (ended.end == TransferEnd::NothingSent) {
        refuse(exchange, { .code = ResultCode::SliceOwnerUnreachable });
        return;
    }
    const auto answer = ended.end == TransferEnd::Complete ? answerOfOwner(ended) : std::nullopt;
    if (answer) {
        answerCaller(exchange, *answer);
        return;
    }
    // The owner may have taken the request: its account stands under the key, and a second try with the key is safe.
    const RequestId id = m_parts.requests.accept(request.key.customer, request.service);
    sendRefusal(m_context, m_context.callers, exchange, formatRequestId(id), { .code = ResultCode::SliceOwnerConnectionBroken, .runState = RunState::MayHaveRun, .detail = "send the request again with the same key, or ask for the account of the key" });
    m_parts.requests.finish(id, ResultCode::SliceOwnerConnectionBroken, RunState::MayHaveRun);
}

void KeyedRequests::answerCaller(ExchangeId exchange, const AnswerRequest& answer)
{
    const std::string& id = answer.id;
    const bool isBackendAnswer = answer.runState == RunState::Ran;
    if (!isBackendAnswer) {
        sendRefusal(m_context, m_context.callers, exchange, id, { .code = answer.result, .runState = answer.runState, .retryAfter = answer.retryAfter });
        return;
    }
    RespondWhole response { .exchange = exchange, .status = answer.httpStatus, .headers = {}, .body = answer.response };
    response.headers = {
        { .name = "Content-Type", .value = "application/json" },
        { .name = header::requestId, .value = id },
        { .name = header::resultCode, .value = std::to_string(static_cast<int>(answer.result)) },
        { .name = header::runState, .value = std::string { runStateName(answer.runState) } },
    };
    if (answer.repeatOf) {
        response.headers.push_back({ .name = header::replayOf, .value = formatRequestId(*answer.repeatOf) });
    }
    if (!answer.responseKept) {
        response.headers.push_back({ .name = header::responseNotKept, .value = "1" });
    }
    m_context.callers.send(std::move(response));
}

bool KeyedRequests::handlePeer(const IncomingRequest& incoming)
{
    if (incoming.target != executePath) {
        return false;
    }
    m_parts.desk.submit(relayedRequest(incoming), [this, exchange = incoming.exchange](const AnswerRequest& answer) {
        m_context.peerCallers.send(relayedAnswer(exchange, answer));
    });
    return true;
}

void KeyedRequests::refuse(ExchangeId exchange, const Refusal& refusal)
{
    sendRefusal(m_context, m_context.callers, exchange, m_parts.requests.refusalId(), refusal);
}

} // namespace siskinspread
