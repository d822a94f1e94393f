#include "SchemaWalk.h"

#include "FieldRules.h"

#include <cmath>

namespace siskinspread {

namespace {

    using google::protobuf::Descriptor;
    using google::protobuf::FieldDescriptor;

    /** Walks one document and the descriptors of its message type side by side. */
    struct Walk {
        KeyLines& lines;
        ProblemCollector& problems;

        void table(toml::table& values, const Descriptor& type, const std::string& key);
        bool field(toml::node& value, const FieldDescriptor& type, const std::string& key);
        bool list(toml::node& value, const FieldDescriptor& type, const std::string& key);
        bool single(toml::node& value, const FieldDescriptor& type, const std::string& key);
        bool wrongType(const toml::node& value, const FieldDescriptor& type, const std::string& key);
        bool wholeNumber(const toml::node& value, const FieldDescriptor& type, const std::string& key);
    };

    std::string_view describeType(const toml::node& value)
    {
        switch (value.type()) {
        case toml::node_type::table:
            return "a table";
        case toml::node_type::array:
            return "a list";
        case toml::node_type::string:
            return "a string";
        case toml::node_type::integer:
            return "a whole number";
        case toml::node_type::floating_point:
            return "a floating-point number";
        case toml::node_type::boolean:
            return "true or false";
        default:
            return "a date or time";
        }
    }

    std::string knownKeys(const Descriptor& type)
    {
        std::string names;
        for (int index = 0; index < type.field_count(); ++index) {
            names += (index ? ", " : "") + type.field(index)->name();
        }
        return names;
    }

    bool isEnumText(const toml::node& value, const google::protobuf::EnumDescriptor& type)
    {
        const std::optional<std::string> text = value.value_exact<std::string>();
        for (int index = 0; text && index < type.value_count(); ++index) {
            if (type.value(index)->number() && enumText(*type.value(index)) == *text) {
                return true;
            }
        }
        return false;
    }

    bool isFiniteNumber(const toml::node& value)
    {
        const std::optional<double> number = value.value<double>();
        return value.is_number() && number && std::isfinite(*number);
    }

    void Walk::table(toml::table& values, const Descriptor& type, const std::string& key)
    {
        std::vector<std::string> rejected;
        for (auto&& [name, value] : values) {
            const std::string fieldKey = joinKey(key, name.str());
            lines[fieldKey] = name.source().begin.line;
            const FieldDescriptor* field = type.FindFieldByName(std::string { name.str() });
            if (!field) {
                problems.add(fieldKey, "is not a known key; allowed: " + knownKeys(type));
            }
            if (!field || !this->field(value, *field, fieldKey)) {
                rejected.emplace_back(name.str());
            }
        }
        for (const std::string& name : rejected) {
            values.erase(name);
        }
    }

    bool Walk::field(toml::node& value, const FieldDescriptor& type, const std::string& key)
    {
        return type.is_repeated() ? list(value, type, key) : single(value, type, key);
    }

    bool Walk::list(toml::node& value, const FieldDescriptor& type, const std::string& key)
    {
        toml::array* values = value.as_array();
        if (!values) {
            return wrongType(value, type, key);
        }
        bool good = true;
        for (size_t index = 0; index < values->size(); ++index) {
            toml::node& entry = (*values)[index];
            const std::string entryKey = indexKey(key, index);
            lines[entryKey] = entry.source().begin.line;
            good = single(entry, type, entryKey) && good;
        }
        return good;
    }

    bool Walk::single(toml::node& value, const FieldDescriptor& type, const std::string& key)
    {
        switch (type.cpp_type()) {
        case FieldDescriptor::CPPTYPE_MESSAGE:
            if (toml::table* values = value.as_table()) {
                table(*values, *type.message_type(), key);
                return true;
            }
            return wrongType(value, type, key);
        case FieldDescriptor::CPPTYPE_STRING:
            return value.is_string() || wrongType(value, type, key);
        case FieldDescriptor::CPPTYPE_BOOL:
            return value.is_boolean() || wrongType(value, type, key);
        case FieldDescriptor::CPPTYPE_ENUM:
            return isEnumText(value, *type.enum_type()) || wrongType(value, type, key);
        case FieldDescriptor::CPPTYPE_DOUBLE:
            return isFiniteNumber(value) || wrongType(value, type, key);
        default:
            return wholeNumber(value, type, key);
        }
    }

    bool Walk::wholeNumber(const toml::node& value, const FieldDescriptor& type, const std::string& key)
    {
        const std::optional<int64_t> number = value.value_exact<int64_t>();
        if (!number) {
            return wrongType(value, type, key);
        }
        if (!inRange(type, static_cast<double>(*number))) {
            problems.add(key, "is " + std::to_string(*number) + "; allowed: " + describeAllowed(type));
            return false;
        }
        return true;
    }

    bool Walk::wrongType(const toml::node& value, const FieldDescriptor& type, const std::string& key)
    {
        std::string seen { describeType(value) };
        if (const std::optional<std::string> text = value.value_exact<std::string>()) {
            seen = "the string \"" + *text + "\"";
        }
        const bool inList = type.is_repeated() && key.ends_with(']');
        problems.add(key, "is " + seen + "; allowed: " + (inList ? "a table" : describeAllowed(type)));
        return false;
    }

} // namespace

void checkTypes(toml::table& document, const Descriptor& type, KeyLines& lines, ProblemCollector& problems)
{
    Walk { .lines = lines, .problems = problems }.table(document, type, "");
}

} // namespace siskinspread
