#include "RefusingSocket.h"

#include <array>
#include <sys/socket.h>

namespace siskinspread {

namespace {

    constexpr std::string_view headEnd = "\r\n\r\n";
    constexpr int maxDrainReads = 256; // a sender that goes on without end is cut off

    std::string responseText(const RespondWhole& response)
    {
        std::string text = "HTTP/1.1 " + std::to_string(response.status) + " Error\r\nConnection: close\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n";
        for (const HttpHeader& header : response.headers) {
            text += header.name + ": " + header.value + "\r\n";
        }
        return text + "\r\n" + response.body;
    }

} // namespace

restinio::asio_ns::execution_context::id RefusalSource::id;

void ConnectionProgress::receive(std::string_view bytes)
{
    while (!bytes.empty() && headEndMatched < headEnd.size()) {
        ++headBytes;
        if (bytes.front() == headEnd[headEndMatched]) {
            ++headEndMatched;
        } else {
            headEndMatched = bytes.front() == headEnd.front() ? 1 : 0;
        }
        bytes.remove_prefix(1);
    }
    bodyBytes += bytes.size();
}

void ConnectionProgress::beginNextRequest()
{
    headBytes = 0;
    bodyBytes = 0;
    headEndMatched = 0;
}

bool ConnectionProgress::canRefuse() const
{
    return headBytes && !openExchanges && !openWrites && !mayNotRefuse;
}

ServerRefusal ConnectionProgress::refusal(size_t maxBodyBytes) const
{
    if (!inHandler) {
        return ServerRefusal::SenderTooSlow; // closed by the timer
    }
    return bodyBytes > maxBodyBytes ? ServerRefusal::BodyTooLarge : ServerRefusal::Malformed;
}

void sendRefusalResponse(int descriptor, const RespondWhole& response)
{
    const std::string text = responseText(response);
    static_cast<void>(::send(descriptor, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL)); // best effort: the connection closes
    std::array<char, 16384> ignored {};
    for (int reads = 0; reads<maxDrainReads&& ::recv(descriptor, ignored.data(), ignored.size(), MSG_DONTWAIT)> 0; ++reads) { }
}

} // namespace siskinspread
