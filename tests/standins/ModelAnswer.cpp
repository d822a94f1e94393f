#include "ModelAnswer.h"

#include <xxhash.h>

#include <cstdio>
#include <sstream>

namespace siskinspread::standin {
namespace {

    uint64_t hashText(std::string_view text, uint64_t seed)
    {
        return XXH3_64bits_withSeed(text.data(), text.size(), seed);
    }

} // namespace

std::string answerHash(std::string_view model, std::span<const ChatMessage> messages)
{
    uint64_t hash = hashText(model, 0);
    for (const ChatMessage& message : messages) {
        hash = hashText(message.role, hash);
        hash = hashText(message.content, hash);
    }
    char digits[9];
    std::snprintf(digits, sizeof digits, "%08x", static_cast<unsigned>(hash & 0xffffffffU));
    return digits;
}

std::string answerToken(std::string_view hash, uint64_t index)
{
    return "t" + std::string(hash) + "-" + std::to_string(index) + " ";
}

std::string answerText(std::string_view hash, uint64_t first, uint64_t end)
{
    std::string text;
    for (uint64_t index = first; index < end; ++index) {
        text += answerToken(hash, index);
    }
    return text;
}

std::vector<std::string> promptWords(std::span<const ChatMessage> messages)
{
    std::vector<std::string> words;
    for (const ChatMessage& message : messages) {
        words.push_back(message.role);
        std::istringstream content(message.content);
        for (std::string word; content >> word;) {
            words.push_back(word);
        }
    }
    return words;
}

std::vector<uint64_t> blockHashes(std::string_view model, std::span<const std::string> words)
{
    std::vector<uint64_t> hashes;
    uint64_t previous = hashText(model, 0);
    for (size_t start = 0; start + cacheBlockTokens <= words.size(); start += cacheBlockTokens) {
        std::string block;
        for (const std::string& word : words.subspan(start, cacheBlockTokens)) {
            block += word + " ";
        }
        previous = hashText(block, previous);
        hashes.push_back(previous);
    }
    return hashes;
}

} // namespace siskinspread::standin
