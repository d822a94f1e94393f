#include "siskinspread/ServiceFile.h"

#include "DocumentReader.h"
#include "FieldRules.h"
#include "ServiceChecks.h"

namespace siskinspread {

namespace {

    void checkServices(const schema::ServiceFile& content, ProblemCollector& problems)
    {
        for (int index = 0; index < content.services_size(); ++index) {
            checkService(content.services(index), indexKey("services", static_cast<size_t>(index)), problems);
        }
    }

    std::optional<schema::ServiceFile> contentOf(std::optional<ServiceDocument> document)
    {
        if (!document) {
            return std::nullopt;
        }
        return std::move(document->content);
    }

} // namespace

std::optional<ServiceDocument> parseServiceDocument(std::string_view text, const std::string& file, LastReason& reason, std::vector<SettingsProblem>* problems)
{
    ServiceDocument document { .file = file, .content = {}, .lines = {} };
    std::vector<SettingsProblem> found;
    convertDocument(text, file, document.content, document.lines, found);
    ProblemCollector collector { file, document.lines, found };
    if (found.empty() && document.lines.contains("customers") && !document.content.customers_size()) {
        // A publish replaces what its files list and removes nothing: the keys of customers that are left out hold on.
        collector.add("customers", "is an empty list, which takes no customer away; allowed: at least one entry, or no list");
    }
    if (found.empty() && !document.content.services_size() && !document.content.customers_size()) {
        found.push_back({ .file = file, .line = 0, .key = {}, .text = "is empty; allowed: at least one entry in services or customers" });
    }
    checkServices(document.content, collector);
    sortProblems(found);
    if (problems) {
        *problems = found;
    }
    if (!found.empty()) {
        return fail(reason, ResultCode::InvalidConfiguration, formatProblems(found));
    }
    return document;
}

std::optional<ServiceDocument> loadServiceDocument(const std::filesystem::path& path, LastReason& reason, std::vector<SettingsProblem>* problems)
{
    const std::optional<std::string> text = readDocument(path, ResultCode::InvalidConfiguration, reason);
    if (!text) {
        if (problems) {
            *problems = { { .file = path.string(), .line = 0, .key = {}, .text = reason.detail.substr(path.string().size() + 2) } };
        }
        return std::nullopt;
    }
    return parseServiceDocument(*text, path.string(), reason, problems);
}

std::optional<schema::ServiceFile> loadServiceFile(const std::filesystem::path& path, LastReason& reason, std::vector<SettingsProblem>* problems)
{
    return contentOf(loadServiceDocument(path, reason, problems));
}

std::optional<schema::ServiceFile> parseServiceFile(std::string_view text, const std::string& file, LastReason& reason, std::vector<SettingsProblem>* problems)
{
    return contentOf(parseServiceDocument(text, file, reason, problems));
}

std::vector<SettingsProblem> checkConfiguration(const schema::Configuration& configuration)
{
    ServiceDocument document { .file = "configuration", .content = {}, .lines = {} };
    *document.content.mutable_services() = configuration.services();
    *document.content.mutable_customers() = configuration.customers();
    std::vector<SettingsProblem> problems;
    ProblemCollector collector { document.file, document.lines, problems };
    checkRules(document.content, "", collector);
    fillDefaults(document.content);
    checkServices(document.content, collector);
    const std::vector<SettingsProblem> together = checkTogether({ &document, 1 });
    problems.insert(problems.end(), together.begin(), together.end());
    sortProblems(problems);
    return problems;
}

void fillConfigurationDefaults(schema::Configuration& configuration)
{
    fillDefaults(configuration);
}

} // namespace siskinspread
