#include "siskinspread/SliceMap.h"

#include <array>
#include <charconv>

#include <xxhash.h>

namespace siskinspread {

namespace {

    constexpr std::string_view issuedPrefix = "ssk1.";
    constexpr int hexadecimal = 16;

    std::string hexOf(uint64_t value)
    {
        std::array<char, 16> digits {};
        const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), value, hexadecimal);
        return { digits.data(), end };
    }

    /** Check digits over the fields and the customer, so that a mistyped key is refused rather than seen as new. */
    std::string checkDigits(const std::string& customer, std::string_view fields)
    {
        const uint64_t seed = XXH3_64bits(customer.data(), customer.size());
        return hexOf(static_cast<uint32_t>(XXH3_64bits_withSeed(fields.data(), fields.size(), seed)));
    }

    /** Takes one hexadecimal field and the dot behind it off the front of the text. */
    std::optional<uint64_t> takeField(std::string_view& text)
    {
        uint64_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, hexadecimal);
        if (error != std::errc {} || end == text.data() + text.size() || *end != '.') {
            return std::nullopt;
        }
        text.remove_prefix(static_cast<size_t>(end - text.data()) + 1);
        return value;
    }

} // namespace

std::string issueKey(const std::string& customer, const IssuedKey& key)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(key.issuedAt.time_since_epoch()).count();
    std::string text { issuedPrefix };
    for (const uint64_t field : { uint64_t { key.slice }, key.generation, static_cast<uint64_t>(seconds), key.serial }) {
        text += hexOf(field) + '.';
    }
    return text + checkDigits(customer, text);
}

bool looksIssued(std::string_view text)
{
    return text.starts_with(issuedPrefix);
}

std::optional<IssuedKey> parseIssuedKey(const IdempotencyKey& key, LastReason& reason)
{
    const size_t lastDot = key.text.rfind('.');
    if (!looksIssued(key.text) || lastDot == std::string::npos) {
        return fail(reason, ResultCode::MalformedRequest, "not an issued idempotency key");
    }
    const std::string_view fields = std::string_view { key.text }.substr(0, lastDot + 1);
    if (key.text.substr(lastDot + 1) != checkDigits(key.customer, fields)) {
        return fail(reason, ResultCode::MalformedRequest, "the check digits of the issued idempotency key do not match");
    }
    std::string_view rest = fields.substr(issuedPrefix.size());
    const auto slice = takeField(rest);
    const auto generation = takeField(rest);
    const auto seconds = takeField(rest);
    const auto serial = takeField(rest);
    if (!slice || !generation || !seconds || !serial || !rest.empty()) {
        return fail(reason, ResultCode::MalformedRequest, "the issued idempotency key has missing fields");
    }
    return IssuedKey { .slice = static_cast<uint32_t>(*slice), .generation = *generation, .issuedAt = WallTime { std::chrono::seconds { *seconds } }, .serial = *serial };
}

} // namespace siskinspread
