#include "CommandOptions.h"

#include "siskinspread/Endpoint.h"

#include <algorithm>
#include <sstream>

namespace siskinspread {

namespace {

    constexpr uint32_t defaultTimeoutMs = 5000;
    constexpr uint32_t maxTimeoutMs = 600'000;
    constexpr uint32_t defaultWaitSeconds = 30;
    constexpr uint32_t maxWaitSeconds = 3600;

    bool malformed(LastReason& reason, std::string detail)
    {
        fail(reason, ResultCode::MalformedRequest, std::move(detail));
        return false;
    }

    /** Reads a number between 1 and `maximum`. */
    bool readNumber(const po::variables_map& values, const std::string& name, uint32_t maximum, uint32_t& number, LastReason& reason)
    {
        const int64_t value = values[name].as<int64_t>();
        if (value < 1 || value > maximum) {
            return malformed(reason, "--" + name + " is " + std::to_string(value) + "; allowed: 1 to " + std::to_string(maximum));
        }
        number = static_cast<uint32_t>(value);
        return true;
    }

    po::options_description withPositional(const CommandSyntax& syntax)
    {
        po::options_description all;
        all.add(syntax.options);
        if (!syntax.positional.empty()) {
            all.add_options()(syntax.positional.c_str(), po::value<Words>(), "");
        }
        return all;
    }

} // namespace

std::string helpText(const CommandSyntax& syntax)
{
    std::ostringstream text;
    text << "usage: " << syntax.usage << "\n\n"
         << syntax.summary << "\n\n"
         << syntax.options;
    return text.str();
}

std::optional<po::variables_map> parseWords(CommandSyntax& syntax, const Words& words, LastReason& reason)
{
    syntax.options.add_options()("help,h", "show this help");
    syntax.options.add_options()("output", po::value<std::string>()->default_value("text")->value_name("FORMAT"), "text or json");
    syntax.options.add_options()("timeout", po::value<int64_t>()->default_value(defaultTimeoutMs)->value_name("MS"), "longest time of one call, in milliseconds");
    po::positional_options_description positional;
    if (!syntax.positional.empty()) {
        positional.add(syntax.positional.c_str(), syntax.maxPositional);
    }
    const int style = po::command_line_style::unix_style & ~po::command_line_style::allow_guessing;
    try {
        const po::options_description all = withPositional(syntax);
        po::variables_map values;
        po::store(po::command_line_parser(words).options(all).positional(positional).style(style).run(), values);
        po::notify(values);
        return values;
    } catch (const po::error& error) {
        return fail(reason, ResultCode::MalformedRequest, std::string { error.what() } + "; usage: " + syntax.usage);
    }
}

void addEntryHostOption(CommandSyntax& syntax)
{
    syntax.options.add_options()("entry-host", po::value<Words>()->value_name("URL"), "callers' port of an entry host, http://IP:port; may be repeated, tried in order");
}

void addWaitOptions(CommandSyntax& syntax, const char* waitText)
{
    syntax.options.add_options()("wait", waitText);
    syntax.options.add_options()("wait-timeout", po::value<int64_t>()->default_value(defaultWaitSeconds)->value_name("S"), "longest time to wait, in seconds");
}

Words wordsOf(const po::variables_map& values, const std::string& name)
{
    return values.count(name) ? values[name].as<Words>() : Words {};
}

std::string wordOf(const po::variables_map& values, const std::string& name)
{
    return values.count(name) ? values[name].as<std::string>() : std::string {};
}

bool readCommon(const po::variables_map& values, CommonArguments& common, LastReason& reason)
{
    const std::string output = wordOf(values, "output");
    if (output != "text" && output != "json") {
        return malformed(reason, "--output is \"" + output + "\"; allowed: text or json");
    }
    common.output = output == "json" ? OutputFormat::Json : OutputFormat::Text;
    uint32_t timeout = 0;
    if (!readNumber(values, "timeout", maxTimeoutMs, timeout, reason)) {
        return false;
    }
    common.timeout = std::chrono::milliseconds { timeout };
    return true;
}

bool readWait(const po::variables_map& values, bool& wait, std::chrono::seconds& waitTimeout, LastReason& reason)
{
    wait = values.count("wait");
    uint32_t seconds = 0;
    if (!readNumber(values, "wait-timeout", maxWaitSeconds, seconds, reason)) {
        return false;
    }
    waitTimeout = std::chrono::seconds { seconds };
    return true;
}

bool checkUrl(const std::string& name, const std::string& url, LastReason& reason)
{
    return isHttpUrl(url) || malformed(reason, name + " is \"" + url + "\"; allowed: http://IP:port");
}

bool readUrls(const po::variables_map& values, const std::string& name, LastReason& reason)
{
    const std::string url = wordOf(values, name);
    return url.empty() || checkUrl("--" + name, url, reason);
}

bool readEntryHosts(const po::variables_map& values, bool required, std::vector<std::string>& entryHosts, LastReason& reason)
{
    entryHosts = wordsOf(values, "entry-host");
    if (required && entryHosts.empty()) {
        return malformed(reason, "--entry-host URL is needed");
    }
    return std::all_of(entryHosts.begin(), entryHosts.end(), [&](const std::string& url) { return checkUrl("--entry-host", url, reason); });
}

} // namespace siskinspread
