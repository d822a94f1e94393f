#pragma once

#include <jsoncpp/json/json.h>

#include <string>

namespace siskinspread {

/** @return false for text that is not one JSON value, or is nested too deeply. Thread safety: reentrant. */
bool readJson(const std::string& text, Json::Value& value);

/** @return the value as compact JSON text. Thread safety: reentrant. */
std::string writeJson(const Json::Value& value);

} // namespace siskinspread
