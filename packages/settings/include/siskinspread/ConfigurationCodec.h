#pragma once

#include "siskinspread/LastReason.h"

#include "service.pb.h"

#include <optional>
#include <string>
#include <string_view>

namespace siskinspread {

/** Name of the object that holds the configuration. */
constexpr const char* configurationObject = "configuration";

/** @return the configuration in its stored form, JSON. Thread safety: reentrant. */
std::string encodeConfiguration(const schema::Configuration&);

/** @return the configuration, or nothing with InvalidConfiguration when it is malformed or fails a check. Reentrant. */
std::optional<schema::Configuration> decodeConfiguration(std::string_view, LastReason&);

} // namespace siskinspread
