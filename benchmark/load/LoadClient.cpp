#include "LoadClient.h"

#include <stdexcept>
#include <utility>

namespace siskinspread::benchmark {

LoadClient::LoadClient()
    : m_client({}, [this](std::unique_ptr<ClientEvent>& event) { return take(event); })
{
    m_client.start();
}

LoadClient::~LoadClient()
{
    m_client.stop();
}

TransferId LoadClient::start(StartTransfer transfer)
{
    transfer.transfer = ++m_lastTransfer;
    ClientCommand command = std::move(transfer);
    if (!m_client.tryCommand(command)) {
        throw std::runtime_error("too many transfers wait to be started");
    }
    return m_lastTransfer;
}

std::optional<TimedEvent> LoadClient::next(Clock::time_point until)
{
    std::unique_lock lock(m_mutex);
    if (!m_arrived.wait_until(lock, until, [this] { return !m_events.empty(); })) {
        return std::nullopt;
    }
    TimedEvent event = std::move(m_events.front());
    m_events.pop_front();
    return event;
}

bool LoadClient::take(std::unique_ptr<ClientEvent>& event)
{
    const auto now = Clock::now();
    {
        const std::lock_guard lock(m_mutex);
        m_events.push_back({ .at = now, .event = std::move(event) });
    }
    m_arrived.notify_one();
    return true;
}

} // namespace siskinspread::benchmark
