#pragma once

#include "ProblemCollector.h"

#include <google/protobuf/message.h>

#include <string>

namespace siskinspread {

/** @return what the rule and the type of a field allow, for messages. Thread safety: reentrant. */
std::string describeAllowed(const google::protobuf::FieldDescriptor& field);

/** @return "refused", or the value that stands in for an absent key, for the reference page. Thread safety: reentrant. */
std::string describeDefault(const google::protobuf::FieldDescriptor& field);

/** @return whether a number is inside the range of the field's rule and of its type. Thread safety: reentrant. */
bool inRange(const google::protobuf::FieldDescriptor& field, double number);

/**
 * Checks each field of `message` against its rule in the schema, also in nested messages: presence, range and form.
 * Thread safety: reentrant.
 */
void checkRules(const google::protobuf::Message& message, const std::string& key, ProblemCollector& problems);

/** Sets every absent field that has a default, also in nested messages. Thread safety: none for `message`. */
void fillDefaults(google::protobuf::Message& message);

/** @return the name of an enumeration value as TOML documents write it. Thread safety: reentrant. */
std::string enumText(const google::protobuf::EnumValueDescriptor& value);

} // namespace siskinspread
