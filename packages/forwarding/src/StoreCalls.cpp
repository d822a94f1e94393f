#include "siskinspread/StoreCalls.h"

namespace siskinspread {

namespace {

    constexpr size_t commandCapacity = 256; // calls that wait for the client's thread; a host has a handful at a time
    constexpr size_t maxConnections = 8;

} // namespace

StoreCalls::StoreCalls(asio::io_context& context, ForwardingMetrics& metrics)
    : m_context(context)
    , m_metrics(metrics)
    , m_client(HttpClientOptions { .commandCapacity = commandCapacity, .maxConnections = maxConnections }, [this](std::unique_ptr<ClientEvent>& event) {
        if (auto* ended = std::get_if<TransferEnded>(event.get())) {
            asio::post(m_context, [this, answer = std::move(*ended)] { onEnded(answer); });
        }
        event.reset();
        return true;
    })
{
    m_client.start();
}

StoreCalls::~StoreCalls()
{
    stop();
}

TransferId StoreCalls::start(std::string_view purpose, StartTransfer transfer, Answered answered)
{
    transfer.transfer = ++m_last;
    m_open.emplace(transfer.transfer, OpenCall { .purpose = purpose, .answered = std::move(answered) });
    ClientCommand command { std::move(transfer) };
    if (!m_client.tryCommand(command)) {
        asio::post(m_context, [this, id = m_last] { onEnded(TransferEnded { .transfer = id, .end = TransferEnd::NothingSent, .detail = "too many calls wait" }); });
    }
    return m_last;
}

bool StoreCalls::cancel(TransferId call)
{
    ClientCommand command { CancelTransfer { .transfer = call } };
    return !m_open.contains(call) || m_client.tryCommand(command);
}

void StoreCalls::onEnded(const TransferEnded& ended)
{
    auto found = m_open.find(ended.transfer);
    if (found == m_open.end()) {
        return;
    }
    auto call = std::move(found->second);
    m_open.erase(found);
    m_metrics.countStoreCall(call.purpose, ended.end == TransferEnd::Complete);
    call.answered(ended);
}

void StoreCalls::stop()
{
    m_client.stop();
    m_open.clear();
}

} // namespace siskinspread
