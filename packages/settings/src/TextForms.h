#pragma once

#include "rules.pb.h"

#include <string_view>

namespace siskinspread {

/** @return whether `text` has the form. Thread safety: reentrant. */
bool hasForm(std::string_view text, schema::TextForm form);

/** @return what the form allows, for messages. Thread safety: reads constant data only. */
std::string_view describeForm(schema::TextForm form);

} // namespace siskinspread
