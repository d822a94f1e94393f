#include "SoakProxy.h"

namespace siskinspread::soak {

namespace {

    constexpr std::chrono::milliseconds pieceDelay { 120 };

} // namespace

SoakProxy::SoakProxy(asio::io_context& context, asio::ip::tcp::endpoint upstream)
    : m_acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
    , m_upstream(std::move(upstream))
{
    accept();
}

void SoakProxy::accept()
{
    m_acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            auto link = std::make_shared<Link>(std::move(socket));
            m_links.remove_if([](const auto& entry) { return entry.expired(); });
            m_links.push_back(link);
            link->upstream.async_connect(m_upstream, [this, link](const asio::error_code& failed) {
                if (failed) {
                    end(*link, true);
                    return;
                }
                carry(link, true);
                carry(link, false);
            });
        }
        accept();
    });
}

void SoakProxy::carry(const std::shared_ptr<Link>& link, bool forth)
{
    auto& from = forth ? link->caller : link->upstream;
    auto& buffer = forth ? link->fromCaller : link->fromUpstream;
    from.async_read_some(asio::buffer(buffer), [this, link, forth](const asio::error_code& error, size_t size) {
        if (error) {
            end(*link, error == asio::error::connection_reset);
            return;
        }
        if (m_fault != LinkFault::Delay) {
            deliver(link, forth, size);
            return;
        }
        auto timer = std::make_shared<asio::steady_timer>(link->caller.get_executor(), pieceDelay);
        timer->async_wait([this, link, forth, size, timer](const asio::error_code&) { deliver(link, forth, size); });
    });
}

void SoakProxy::deliver(const std::shared_ptr<Link>& link, bool forth, size_t size)
{
    bool& lost = forth ? link->lostFromCaller : link->lostFromUpstream;
    lost = lost || m_fault == LinkFault::Silence || (m_fault == LinkFault::LoseAnswers && !forth);
    if (!lost) {
        auto& to = forth ? link->upstream : link->caller;
        asio::error_code error;
        asio::write(to, asio::buffer(forth ? link->fromCaller : link->fromUpstream, size), error);
        if (error) {
            end(*link, true);
            return;
        }
    }
    carry(link, forth);
}

void SoakProxy::end(Link& link, bool reset)
{
    asio::error_code ignored; // the other side may have closed first
    for (auto* socket : { &link.caller, &link.upstream }) {
        if (reset) {
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
        }
        socket->close(ignored);
    }
}

void SoakProxy::resetAll()
{
    for (const auto& entry : m_links) {
        if (auto link = entry.lock()) {
            end(*link, true);
        }
    }
    m_links.clear();
}

} // namespace siskinspread::soak
