#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>

namespace siskinspread {

/** @return the text in this field; empty when the document is no object or has no such text. Thread safety: reentrant. */
std::string textField(const nlohmann::json& document, const char* name);

/** @return the number in this field, or `fallback`. Thread safety: reentrant. */
double numberField(const nlohmann::json& document, const char* name, double fallback);

/** @return the whole number that is not negative in this field, or `fallback`. Thread safety: reentrant. */
uint64_t countField(const nlohmann::json& document, const char* name, uint64_t fallback);

/** @return the milliseconds in this field, between zero and a year, or `fallback`. Thread safety: reentrant. */
std::chrono::milliseconds millisecondsField(const nlohmann::json& document, const char* name, std::chrono::milliseconds fallback);

/** @return whether this field is true. Thread safety: reentrant. */
bool flagField(const nlohmann::json& document, const char* name);

} // namespace siskinspread
