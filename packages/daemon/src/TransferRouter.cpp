#include "siskinspread/TransferRouter.h"

namespace siskinspread {

TransferRouter::TransferRouter(size_t ringCapacity, std::function<void()> wakeDecide, std::function<void()> onRingFull, std::string userAgent)
    : m_events(ringCapacity, std::move(wakeDecide))
    , m_client({ .commandCapacity = ringCapacity }, [this](std::unique_ptr<ClientEvent>& event) { return m_events.tryPush(event); })
    , m_onRingFull(std::move(onRingFull))
    , m_userAgent(std::move(userAgent))
{
}

TransferId TransferRouter::start(StartTransfer&& transfer, TransferHandler handler)
{
    const TransferId id = ++m_last;
    transfer.transfer = id;
    if (!m_userAgent.empty()) {
        transfer.headers.push_back({ .name = "User-Agent", .value = m_userAgent });
    }
    m_handlers.emplace(id, std::move(handler));
    ClientCommand command { std::move(transfer) };
    if (!m_client.tryCommand(command)) {
        m_refused.push_back(id);
        m_onRingFull();
    }
    return id;
}

void TransferRouter::cancel(TransferId id)
{
    if (!m_handlers.erase(id)) {
        return;
    }
    ClientCommand command { CancelTransfer { .transfer = id } };
    if (!m_client.tryCommand(command)) {
        m_waitingCancels.push_back(std::move(command));
    }
}

bool TransferRouter::dispatchEvents()
{
    bool any = false;
    while (!m_waitingCancels.empty() && m_client.tryCommand(m_waitingCancels.front())) {
        m_waitingCancels.pop_front();
    }
    while (!m_refused.empty()) {
        const TransferId id = m_refused.front();
        m_refused.pop_front();
        handle(TransferEnded { .transfer = id, .end = TransferEnd::NothingSent, .status = 0, .headers = {}, .body = {}, .detail = "the ring to the client is full" });
        any = true;
    }
    while (const auto event = m_events.tryPop()) {
        handle(*event);
        any = true;
    }
    return any;
}

void TransferRouter::handle(const ClientEvent& event)
{
    const TransferId id = std::visit([](const auto& e) { return e.transfer; }, event);
    const auto entry = m_handlers.find(id);
    if (entry == m_handlers.end()) {
        return;
    }
    if (std::holds_alternative<TransferEnded>(event)) {
        const TransferHandler handler = std::move(entry->second);
        m_handlers.erase(entry);
        handler(event);
        return;
    }
    const TransferHandler handler = entry->second; // the handler may cancel its own transfer
    handler(event);
}

} // namespace siskinspread
