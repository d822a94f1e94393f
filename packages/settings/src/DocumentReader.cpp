#include "DocumentReader.h"

#include "FieldRules.h"
#include "SchemaWalk.h"

#include <google/protobuf/util/json_util.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace siskinspread {

namespace {

    std::string asJson(const toml::table& document)
    {
        std::ostringstream json;
        json << toml::json_formatter { document };
        return json.str();
    }

    void convertTable(const toml::table& document, google::protobuf::Message& message, ProblemCollector& problems)
    {
        google::protobuf::util::JsonParseOptions options;
        options.case_insensitive_enum_parsing = true;
        const auto status = google::protobuf::util::JsonStringToMessage(asJson(document), &message, options);
        if (!status.ok()) {
            problems.add("", "does not fit the schema: " + std::string { status.message() });
        }
    }

} // namespace

std::optional<std::string> readDocument(const std::filesystem::path& path, ResultCode code, LastReason& reason)
{
    errno = 0;
    std::ifstream stream { path, std::ios::binary };
    std::ostringstream content;
    // An empty file extracts no character, which sets failbit on `content` alone.
    if (!stream || (stream.peek() != std::char_traits<char>::eof() && !(content << stream.rdbuf())) || stream.bad()) {
        return fail(reason, code, path.string() + ": cannot be read: " + std::strerror(errno ? errno : EIO));
    }
    std::string text = std::move(content).str();
    if (text.size() > maxDocumentBytes) {
        return fail(reason, code, path.string() + ": is longer than " + std::to_string(maxDocumentBytes) + " bytes");
    }
    return text;
}

void convertDocument(std::string_view text, const std::string& file, google::protobuf::Message& message, KeyLines& lines, std::vector<SettingsProblem>& problems)
{
    toml::parse_result document = toml::parse(text, file);
    if (!document) {
        const toml::parse_error& error = document.error();
        problems.push_back({ .file = file, .line = error.source().begin.line, .key = {}, .text = "is not valid TOML: " + std::string { error.description() } });
        return;
    }
    ProblemCollector collector { file, lines, problems };
    checkTypes(document.table(), *message.GetDescriptor(), lines, collector);
    convertTable(document.table(), message, collector);
    checkRules(message, "", collector);
    fillDefaults(message);
}

} // namespace siskinspread
