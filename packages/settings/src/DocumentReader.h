#pragma once

#include "siskinspread/LastReason.h"
#include "siskinspread/SettingsProblem.h"

#include <google/protobuf/message.h>

#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace siskinspread {

/** Longest settings or service file in bytes: the largest value of the platform's object API. */
inline constexpr size_t maxDocumentBytes = size_t { 1024 } * 1024;

/**
 * @return the whole content of the file.
 * @param reason set to `code` when the file cannot be read or is longer than maxDocumentBytes.
 * Thread safety: reentrant.
 */
std::optional<std::string> readDocument(const std::filesystem::path& path, ResultCode code, LastReason& reason);

/**
 * Converts a TOML document to `message`, checks it against the rules of the schema and fills in the defaults.
 * `message` holds what could be converted, also when problems were found.
 * Thread safety: reentrant.
 */
void convertDocument(std::string_view text, const std::string& file, google::protobuf::Message& message, KeyLines& lines, std::vector<SettingsProblem>& problems);

} // namespace siskinspread
