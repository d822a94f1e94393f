#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace siskinspread::standin {

/** Words of a prompt in one block of the prefix cache; a word counts as a token. */
constexpr size_t cacheBlockTokens = 16;

struct ChatMessage {
    std::string role;
    std::string content;
};

/** Identifies an answer: 8 hexadecimal digits that depend on the model's name and on all messages. */
std::string answerHash(std::string_view model, std::span<const ChatMessage> messages);

/** @return token `index` of the answer, for example "t0123abcd-7 ". */
std::string answerToken(std::string_view hash, uint64_t index);

/** @return the tokens from `first` up to, but not including, `end`, joined. */
std::string answerText(std::string_view hash, uint64_t first, uint64_t end);

/** @return the words of the prompt: for each message its role and then the words of its content. */
std::vector<std::string> promptWords(std::span<const ChatMessage> messages);

/**
 * Hashes of the full blocks of a prompt. The hash of a block is XXH3 of its words, each followed by a space, seeded
 * with the hash of the block before; the first is seeded with XXH3 of the model's name.
 */
std::vector<uint64_t> blockHashes(std::string_view model, std::span<const std::string> words);

} // namespace siskinspread::standin
