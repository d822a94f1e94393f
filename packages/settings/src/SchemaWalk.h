#pragma once

#include "ProblemCollector.h"

#include <google/protobuf/descriptor.h>
#include <toml++/toml.h>

namespace siskinspread {

/**
 * Compares a TOML document with the message type that it is meant for: unknown keys and values of the wrong type are
 * reported and taken out of `document`, so that the rest converts without error and its other faults are found as well.
 * @param lines receives the line of each known key.
 * Thread safety: reentrant.
 */
void checkTypes(toml::table& document, const google::protobuf::Descriptor& type, KeyLines& lines, ProblemCollector& problems);

} // namespace siskinspread
