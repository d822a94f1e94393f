#include "siskinspread/ServerChannel.h"

namespace siskinspread {

ServerChannel::ServerChannel(HttpServerOptions options, size_t ringCapacity, std::function<void()> wakeDecide, RingFullResponse ringFullResponse, RefusalResponse refusalResponse)
    : m_events(ringCapacity, std::move(wakeDecide))
    , m_ringFullResponse(std::move(ringFullResponse))
    , m_server(std::move(options), { .onRequest = [this](IncomingRequest&& request) { onRequest(std::move(request)); }, .onClosed = [this](ExchangeId exchange) { onClosed(exchange); }, .refusal = std::move(refusalResponse) })
{
}

void ServerChannel::onRequest(IncomingRequest&& request)
{
    pushClosed();
    const ExchangeId exchange = request.exchange;
    auto event = std::make_unique<ServerEvent>(std::move(request));
    if (!m_events.tryPush(event)) {
        m_server.respondFromHandler(m_ringFullResponse(exchange));
    }
}

void ServerChannel::onClosed(ExchangeId exchange)
{
    m_closed.push_back(std::make_unique<ServerEvent>(ExchangeClosed { .exchange = exchange }));
    pushClosed();
}

void ServerChannel::pushClosed()
{
    while (!m_closed.empty() && m_events.tryPush(m_closed.front())) {
        m_closed.pop_front();
    }
}

void ServerChannel::send(ServerCommand&& command)
{
    if (!m_waiting.empty() || !m_server.tryCommand(command)) {
        m_waiting.push_back(std::move(command));
    }
}

void ServerChannel::flush()
{
    while (!m_waiting.empty() && m_server.tryCommand(m_waiting.front())) {
        m_waiting.pop_front();
    }
}

} // namespace siskinspread
