#include "siskinspread/Ids.h"

#include <charconv>

namespace siskinspread {

std::string formatRequestId(const RequestId& id)
{
    return id.incarnation.text + "-" + std::to_string(id.sequence);
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
