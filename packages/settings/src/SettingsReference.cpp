#include "siskinspread/SettingsReference.h"

#include "FieldRules.h"

#include "service.pb.h"
#include "settings.pb.h"

namespace siskinspread {

namespace {

    using google::protobuf::Descriptor;
    using google::protobuf::FieldDescriptor;

    std::string row(const FieldDescriptor& field, const std::string& key)
    {
        return "| `" + key + "` | " + describeAllowed(field) + " | " + describeDefault(field) + " |\n";
    }

    std::string rows(const Descriptor& type, const std::string& key)
    {
        std::string text;
        for (int index = 0; index < type.field_count(); ++index) {
            const FieldDescriptor& field = *type.field(index);
            const std::string fieldKey = joinKey(key, field.name()) + (field.is_repeated() ? "[]" : "");
            if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
                text += rows(*field.message_type(), fieldKey);
            } else {
                text += row(field, fieldKey);
            }
        }
        return text;
    }

    std::string reference(const Descriptor& type)
    {
        return "| key | allowed | when absent |\n| --- | --- | --- |\n" + rows(type, "");
    }

} // namespace

std::string settingsReference()
{
    return reference(*schema::Settings::descriptor());
}

std::string serviceFileReference()
{
    return reference(*schema::ServiceFile::descriptor());
}

} // namespace siskinspread
