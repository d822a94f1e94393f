#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace siskinspread {

/** Objects and arrays within each other that are read; deeper text is refused, as using it would take as much of a thread's stack. */
constexpr size_t maxJsonDepth = 64;

/** The fields of a JSON object by their names, as they stand in the text. */
using JsonFieldTexts = std::vector<std::pair<std::string_view, std::string_view>>;

/**
 * Splits an object into its fields without reading their values, so that a value that cannot be read leaves the others readable.
 * Names are not unescaped. @return nothing where the text is no object. Thread safety: reentrant; the result refers to `text`.
 */
std::optional<JsonFieldTexts> splitObject(std::string_view text);

/** As splitObject, for the items of an array. */
std::optional<std::vector<std::string_view>> splitArray(std::string_view text);

/** @return the text of the last field of this name; empty where there is none. Thread safety: reentrant. */
std::string_view fieldText(const JsonFieldTexts&, std::string_view name);

/** @return the value; a discarded one where the text cannot be read or is nested deeper than `maxJsonDepth`. Thread safety: reentrant. */
nlohmann::json parseJson(std::string_view text);

} // namespace siskinspread
