#include "siskinspread/BackendTraffic.h"

#include <memory>
#include <utility>

namespace siskinspread {

namespace {

    constexpr std::string_view schemeEnd = "://";

    std::string addressOf(const std::string& url)
    {
        const size_t scheme = url.find(schemeEnd);
        const size_t begin = scheme == std::string::npos ? 0 : scheme + schemeEnd.size();
        return url.substr(begin, url.find('/', begin) - begin);
    }

} // namespace

struct BackendTraffic::Watched {
    std::string address;
    TransferHandler handler;
    bool hasAnswered { false };
};

// Shared, because the router copies a handler for each event.
TransferId BackendTraffic::start(StartTransfer&& transfer, TransferHandler handler)
{
    auto watched = std::make_shared<Watched>(Watched { .address = addressOf(transfer.url), .handler = std::move(handler) });
    return m_next.start(std::move(transfer), [this, watched = std::move(watched)](const ClientEvent& event) {
        tell(*watched, event);
        watched->handler(event);
    });
}

void BackendTraffic::tell(Watched& watched, const ClientEvent& event) const
{
    if (const auto* headers = std::get_if<TransferHeaders>(&event)) {
        answered(watched, headers->headers);
        return;
    }
    const auto* ended = std::get_if<TransferEnded>(&event);
    if (!ended || ended->end == TransferEnd::Cancelled) {
        return;
    }
    if (ended->end == TransferEnd::Complete) {
        answered(watched, ended->headers);
    } else if (!watched.hasAnswered && onNoAnswer) {
        onNoAnswer(watched.address);
    }
}

void BackendTraffic::answered(Watched& watched, const HttpHeaders& headers) const
{
    watched.hasAnswered = true;
    if (onAnswer) {
        onAnswer(watched.address, headers);
    }
}

} // namespace siskinspread
