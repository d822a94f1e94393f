#include "FieldRules.h"

#include "TextForms.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace siskinspread {

namespace {

    using google::protobuf::FieldDescriptor;
    using google::protobuf::Message;

    const schema::FieldRule& ruleOf(const FieldDescriptor& field)
    {
        return field.options().GetExtension(schema::rule);
    }

    double smallest(const FieldDescriptor& field)
    {
        const bool isUnsigned = field.cpp_type() != FieldDescriptor::CPPTYPE_DOUBLE;
        if (ruleOf(field).has_minimum()) {
            return ruleOf(field).minimum();
        }
        return isUnsigned ? 0 : std::numeric_limits<double>::lowest();
    }

    double largest(const FieldDescriptor& field)
    {
        if (ruleOf(field).has_maximum()) {
            return ruleOf(field).maximum();
        }
        switch (field.cpp_type()) {
        case FieldDescriptor::CPPTYPE_UINT32:
            return std::numeric_limits<uint32_t>::max();
        case FieldDescriptor::CPPTYPE_UINT64:
            return static_cast<double>(std::numeric_limits<int64_t>::max());
        default:
            return std::numeric_limits<double>::max();
        }
    }

    std::string formatNumber(const FieldDescriptor& field, double number)
    {
        if (field.cpp_type() == FieldDescriptor::CPPTYPE_DOUBLE) {
            return nlohmann::json(number).dump();
        }
        return std::to_string(static_cast<uint64_t>(number));
    }

    std::string describeEnum(const google::protobuf::EnumDescriptor& type)
    {
        std::string names;
        for (int index = 0; index < type.value_count(); ++index) {
            if (!type.value(index)->number()) {
                continue;
            }
            names += names.empty() ? "" : ", ";
            names += "\"" + enumText(*type.value(index)) + "\"";
        }
        return "one of " + names;
    }

    std::optional<double> numberOf(const Message& message, const FieldDescriptor& field)
    {
        switch (field.cpp_type()) {
        case FieldDescriptor::CPPTYPE_UINT32:
            return message.GetReflection()->GetUInt32(message, &field);
        case FieldDescriptor::CPPTYPE_UINT64:
            return static_cast<double>(message.GetReflection()->GetUInt64(message, &field));
        case FieldDescriptor::CPPTYPE_DOUBLE:
            return message.GetReflection()->GetDouble(message, &field);
        default:
            return std::nullopt;
        }
    }

    void checkValue(const Message& message, const FieldDescriptor& field, const std::string& key, ProblemCollector& problems)
    {
        const std::optional<double> number = numberOf(message, field);
        if (number && !inRange(field, *number)) {
            problems.add(key, "is " + formatNumber(field, *number) + "; allowed: " + describeAllowed(field));
        }
        if (field.cpp_type() == FieldDescriptor::CPPTYPE_STRING) {
            const std::string text = message.GetReflection()->GetString(message, &field);
            if (!hasForm(text, ruleOf(field).form())) {
                problems.add(key, "is \"" + text + "\"; allowed: " + describeAllowed(field));
            }
        }
    }

    void checkList(const Message& message, const FieldDescriptor& field, const std::string& key, ProblemCollector& problems)
    {
        const google::protobuf::Reflection& reflection = *message.GetReflection();
        const int size = reflection.FieldSize(message, &field);
        for (int index = 0; index < size; ++index) {
            checkRules(reflection.GetRepeatedMessage(message, &field, index), indexKey(key, static_cast<size_t>(index)), problems);
        }
        if (!size && ruleOf(field).required()) {
            problems.add(key, "is missing; allowed: " + describeAllowed(field));
        }
    }

    void checkSingle(const Message& message, const FieldDescriptor& field, const std::string& key, ProblemCollector& problems)
    {
        const google::protobuf::Reflection& reflection = *message.GetReflection();
        if (!reflection.HasField(message, &field)) {
            if (ruleOf(field).required()) {
                problems.add(key, "is missing; allowed: " + describeAllowed(field));
            }
            return;
        }
        if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
            checkRules(reflection.GetMessage(message, &field), key, problems);
            return;
        }
        checkValue(message, field, key, problems);
    }

    void fillNumber(Message& message, const FieldDescriptor& field)
    {
        const google::protobuf::Reflection& reflection = *message.GetReflection();
        const double number = ruleOf(field).default_number();
        switch (field.cpp_type()) {
        case FieldDescriptor::CPPTYPE_UINT32:
            reflection.SetUInt32(&message, &field, static_cast<uint32_t>(number));
            break;
        case FieldDescriptor::CPPTYPE_UINT64:
            reflection.SetUInt64(&message, &field, static_cast<uint64_t>(number));
            break;
        case FieldDescriptor::CPPTYPE_DOUBLE:
            reflection.SetDouble(&message, &field, number);
            break;
        case FieldDescriptor::CPPTYPE_ENUM:
            reflection.SetEnumValue(&message, &field, static_cast<int>(number));
            break;
        default:
            break;
        }
    }

    bool hasRequiredField(const google::protobuf::Descriptor& type)
    {
        for (int index = 0; index < type.field_count(); ++index) {
            if (ruleOf(*type.field(index)).required()) {
                return true;
            }
        }
        return false;
    }

    void fillField(Message& message, const FieldDescriptor& field)
    {
        const google::protobuf::Reflection& reflection = *message.GetReflection();
        if (field.cpp_type() != FieldDescriptor::CPPTYPE_MESSAGE) {
            if (ruleOf(field).has_default_number() && !reflection.HasField(message, &field)) {
                fillNumber(message, field);
            }
            return;
        }
        if (!field.is_repeated()) {
            // An absent table that would have to hold something stays absent.
            if (reflection.HasField(message, &field) || !hasRequiredField(*field.message_type())) {
                fillDefaults(*reflection.MutableMessage(&message, &field));
            }
            return;
        }
        for (int index = 0; index < reflection.FieldSize(message, &field); ++index) {
            fillDefaults(*reflection.MutableRepeatedMessage(&message, &field, index));
        }
    }

} // namespace

std::string enumText(const google::protobuf::EnumValueDescriptor& value)
{
    std::string text = value.name();
    std::ranges::transform(text, text.begin(), [](char character) {
        return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
    });
    return text;
}

std::string describeAllowed(const FieldDescriptor& field)
{
    if (field.is_repeated()) {
        return "a list of tables";
    }
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_MESSAGE:
        return "a table";
    case FieldDescriptor::CPPTYPE_BOOL:
        return "true or false";
    case FieldDescriptor::CPPTYPE_ENUM:
        return describeEnum(*field.enum_type());
    case FieldDescriptor::CPPTYPE_STRING:
        return std::string { describeForm(ruleOf(field).form()) };
    case FieldDescriptor::CPPTYPE_DOUBLE:
        return "a number from " + formatNumber(field, smallest(field)) + " to " + formatNumber(field, largest(field));
    default:
        return "a whole number from " + formatNumber(field, smallest(field)) + " to " + formatNumber(field, largest(field));
    }
}

std::string describeDefault(const FieldDescriptor& field)
{
    if (ruleOf(field).required()) {
        return "refused";
    }
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_BOOL) {
        return "false";
    }
    if (!ruleOf(field).has_default_number()) {
        return "not used";
    }
    const double number = ruleOf(field).default_number();
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_ENUM) {
        return "\"" + enumText(*field.enum_type()->FindValueByNumber(static_cast<int>(number))) + "\"";
    }
    return formatNumber(field, number);
}

bool inRange(const FieldDescriptor& field, double number)
{
    return number >= smallest(field) && number <= largest(field);
}

void checkRules(const Message& message, const std::string& key, ProblemCollector& problems)
{
    const google::protobuf::Descriptor& type = *message.GetDescriptor();
    for (int index = 0; index < type.field_count(); ++index) {
        const FieldDescriptor& field = *type.field(index);
        const std::string fieldKey = joinKey(key, field.name());
        if (field.is_repeated()) {
            checkList(message, field, fieldKey, problems);
        } else {
            checkSingle(message, field, fieldKey, problems);
        }
    }
}

void fillDefaults(Message& message)
{
    const google::protobuf::Descriptor& type = *message.GetDescriptor();
    for (int index = 0; index < type.field_count(); ++index) {
        fillField(message, *type.field(index));
    }
}

} // namespace siskinspread
