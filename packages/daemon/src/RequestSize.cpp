#include "siskinspread/RequestSize.h"

#include <algorithm>

namespace siskinspread {

namespace {

    constexpr size_t bodyBytesAboveLimit = 1U << 20;
    constexpr size_t headerLimitFactor = 4;

} // namespace

HttpServerOptions callerServerOptions(const schema::Settings& settings)
{
    return {
        .address = settings.listen().address(),
        .port = static_cast<uint16_t>(settings.listen().caller_port()),
        .maxBodyBytes = settings.limits().max_body_bytes() + bodyBytesAboveLimit,
        .maxHeaderValueBytes = settings.limits().max_header_bytes() * headerLimitFactor,
        .readTimeout = std::chrono::milliseconds { settings.limits().read_timeout_ms() },
    };
}

std::optional<Refusal> checkRequestSize(const schema::LimitSettings& limits, const IncomingRequest& request)
{
    if (request.body.size() > limits.max_body_bytes()) {
        return Refusal { .code = ResultCode::BodyTooLarge, .detail = "at most " + std::to_string(limits.max_body_bytes()) + " bytes" };
    }
    const bool hasLongHeader = std::any_of(request.headers.begin(), request.headers.end(), [&limits](const HttpHeader& header) { return header.value.size() > limits.max_header_bytes(); });
    if (hasLongHeader) {
        return Refusal { .code = ResultCode::MalformedRequest, .detail = "a header has at most " + std::to_string(limits.max_header_bytes()) + " bytes" };
    }
    return std::nullopt;
}

} // namespace siskinspread
