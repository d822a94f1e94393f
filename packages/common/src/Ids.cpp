#include "siskinspread/Ids.h"

#include <algorithm>
#include <charconv>

namespace siskinspread {

namespace {

    constexpr char repeatMark = '~';

    bool isDigit(char character)
    {
        return character >= '0' && character <= '9';
    }

    bool isRefusalId(std::string_view text)
    {
        const size_t mark = text.rfind(refusalMark);
        if (mark == std::string_view::npos) {
            return false;
        }
        const std::string_view digits = text.substr(mark + refusalMark.size());
        return !digits.empty() && std::all_of(digits.begin(), digits.end(), isDigit);
    }

} // namespace

std::string formatRequestId(const RequestId& id)
{
    return id.incarnation.text + "-" + std::to_string(id.sequence);
}

std::string formatRepeatId(const RequestId& first, std::string_view refusalId)
{
    return formatRequestId(first) + repeatMark + std::string { refusalId };
}

std::optional<RequestId> parseAccountId(std::string_view text, LastReason& reason)
{
    const std::string_view accepted = text.substr(0, text.find(repeatMark));
    if (isRefusalId(accepted)) {
        return fail(reason, ResultCode::UnknownRequest, "this id is that of a request that was refused before it was accepted; it was not dispatched and left no record; an earlier try with the same idempotency key is found by the key");
    }
    return parseRequestId(accepted, reason);
}

std::optional<RequestId> parseRequestId(std::string_view text, LastReason& reason)
{
    const size_t dash = text.rfind('-');
    if (dash == std::string_view::npos || !dash) {
        return fail(reason, ResultCode::UnknownRequest, "a request id has the form INCARNATION-SEQUENCE");
    }
    const std::string_view digits = text.substr(dash + 1);
    uint64_t sequence = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), sequence);
    if (error != std::errc {} || end != digits.data() + digits.size() || !sequence) {
        return fail(reason, ResultCode::UnknownRequest, "the sequence number of a request id is a positive integer");
    }
    return RequestId { .incarnation = { std::string { text.substr(0, dash) } }, .sequence = sequence };
}

} // namespace siskinspread
