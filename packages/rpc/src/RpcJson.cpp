#include "RpcJson.h"

#include <memory>

namespace siskinspread {

bool readJson(const std::string& text, Json::Value& value)
{
    static const Json::CharReaderBuilder builder = [] {
        Json::CharReaderBuilder strict;
        Json::CharReaderBuilder::strictMode(&strict.settings_);
        strict.settings_["strictRoot"] = false; // a result may be a plain value
        return strict;
    }();
    const std::unique_ptr<Json::CharReader> reader { builder.newCharReader() };
    try {
        return reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
    } catch (const Json::Exception&) {
        return false; // jsoncpp throws when the nesting exceeds its stack limit
    }
}

std::string writeJson(const Json::Value& value)
{
    static const Json::StreamWriterBuilder builder = [] {
        Json::StreamWriterBuilder compact;
        compact["indentation"] = "";
        return compact;
    }();
    return Json::writeString(builder, value);
}

} // namespace siskinspread
