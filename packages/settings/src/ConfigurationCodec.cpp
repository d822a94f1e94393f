#include "siskinspread/ConfigurationCodec.h"

#include "siskinspread/ServiceFile.h"

#include <google/protobuf/util/json_util.h>

namespace siskinspread {

std::string encodeConfiguration(const schema::Configuration& configuration)
{
    std::string text;
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    static_cast<void>(google::protobuf::util::MessageToJsonString(configuration, &text, options));
    return text;
}

std::optional<schema::Configuration> decodeConfiguration(std::string_view text, LastReason& reason)
{
    schema::Configuration configuration;
    const auto status = google::protobuf::util::JsonStringToMessage({ text.data(), text.size() }, &configuration);
    if (!status.ok()) {
        return fail(reason, ResultCode::InvalidConfiguration, status.ToString());
    }
    fillConfigurationDefaults(configuration);
    const auto problems = checkConfiguration(configuration);
    if (!problems.empty()) {
        return fail(reason, ResultCode::InvalidConfiguration, formatProblems(problems));
    }
    return configuration;
}

} // namespace siskinspread
