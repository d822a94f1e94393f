#include "siskinspread/CommandLine.h"

#include "CommandOptions.h"

#include <array>
#include <functional>

namespace siskinspread {

namespace {

    constexpr int64_t defaultLateMs = 600; // the middle target of the users' streams

    using ParseCommand = std::optional<Command> (*)(const Words&, LastReason&);

    struct CommandInfo {
        const char* name;
        const char* summary;
        ParseCommand parse;
    };

    template <typename Arguments>
    std::optional<Command> finish(std::optional<po::variables_map> values, const CommandSyntax& syntax, LastReason& reason,
        const std::function<std::optional<Arguments>(const po::variables_map&)>& fill)
    {
        if (!values) {
            return std::nullopt;
        }
        if (values->count("help")) {
            return ShowText { helpText(syntax) };
        }
        std::optional<Arguments> arguments = fill(*values);
        if (!arguments || !readCommon(*values, arguments->common, reason)) {
            return std::nullopt;
        }
        return std::move(*arguments);
    }

    std::optional<Command> parseCheck(const Words& words, LastReason& reason)
    {
        CommandSyntax syntax { .usage = "siskinctl check [OPTION]... [FILE|DIR]...",
            .summary = "Checks service files one by one and together, and settings of daemons. Nothing is sent anywhere.",
            .positional = "FILE" };
        syntax.options.add_options()("settings", po::value<Words>()->value_name("FILE"), "settings of a daemon to check; may be repeated");
        return finish<CheckArguments>(parseWords(syntax, words, reason), syntax, reason, [&](const po::variables_map& values) -> std::optional<CheckArguments> {
            CheckArguments arguments { .common = {}, .serviceFiles = wordsOf(values, "FILE"), .settingsFiles = wordsOf(values, "settings") };
            if (arguments.serviceFiles.empty() && arguments.settingsFiles.empty()) {
                return fail(reason, ResultCode::MalformedRequest, "check needs a service file or directory, or --settings FILE");
            }
            return arguments;
        });
    }

    std::optional<Command> parsePublish(const Words& words, LastReason& reason)
    {
        CommandSyntax syntax { .usage = "siskinctl publish --object-api URL [OPTION]... FILE|DIR...",
            .summary = "Checks service files and replaces these services and customers in the configuration by one conditional update.",
            .positional = "FILE" };
        syntax.options.add_options()("object-api", po::value<std::string>()->value_name("URL"), "the platform's object API, http://IP:port");
        addEntryHostOption(syntax);
        addWaitOptions(syntax, "wait until every live host has the revision in force; needs --entry-host");
        return finish<PublishArguments>(parseWords(syntax, words, reason), syntax, reason, [&](const po::variables_map& values) -> std::optional<PublishArguments> {
            PublishArguments arguments { .common = {}, .serviceFiles = wordsOf(values, "FILE"), .objectApi = wordOf(values, "object-api"), .entryHosts = {} };
            if (!readUrls(values, "object-api", reason) || !readWait(values, arguments.wait, arguments.waitTimeout, reason)) {
                return std::nullopt;
            }
            if (arguments.serviceFiles.empty() || arguments.objectApi.empty()) {
                return fail(reason, ResultCode::MalformedRequest, "publish needs --object-api URL and at least one service file or directory");
            }
            if (!readEntryHosts(values, arguments.wait, arguments.entryHosts, reason)) {
                return std::nullopt;
            }
            return arguments;
        });
    }

    std::optional<Command> parseStatus(const Words& words, LastReason& reason)
    {
        CommandSyntax syntax { .usage = "siskinctl status --entry-host URL [OPTION]...",
            .summary = "Shows the configuration in force, the entry hosts and the backend servers, as the first entry host that answers sees them." };
        addEntryHostOption(syntax);
        return finish<StatusArguments>(parseWords(syntax, words, reason), syntax, reason, [&](const po::variables_map& values) -> std::optional<StatusArguments> {
            StatusArguments arguments;
            if (!readEntryHosts(values, true, arguments.entryHosts, reason)) {
                return std::nullopt;
            }
            return arguments;
        });
    }

    bool readAccountQuery(const po::variables_map& values, AccountArguments& arguments, LastReason& reason)
    {
        if (values.count("ID") == values.count("key")) {
            fail(reason, ResultCode::MalformedRequest, "account needs either the id of a request or --key KEY");
            return false;
        }
        if (values.count("key")) {
            arguments.key = wordOf(values, "key");
            return true;
        }
        arguments.requestId = parseAccountId(wordsOf(values, "ID").front(), reason);
        return arguments.requestId.has_value();
    }

    std::optional<Command> parseAccount(const Words& words, LastReason& reason)
    {
        CommandSyntax syntax { .usage = "siskinctl account --entry-host URL [OPTION]... ID|--key KEY",
            .summary = "Shows what became of one request: whether it was accepted, answered, refused, and whether it ran.",
            .positional = "ID",
            .maxPositional = 1 };
        addEntryHostOption(syntax);
        syntax.options.add_options()("key", po::value<std::string>()->value_name("KEY"), "the idempotency key of the request, in place of its id");
        syntax.options.add_options()("customer", po::value<std::string>()->value_name("NAME"), "the customer who sent the idempotency key");
        return finish<AccountArguments>(parseWords(syntax, words, reason), syntax, reason, [&](const po::variables_map& values) -> std::optional<AccountArguments> {
            AccountArguments arguments { .common = {}, .entryHosts = {}, .customer = wordOf(values, "customer"), .requestId = {}, .key = {} };
            if (!readAccountQuery(values, arguments, reason) || !readEntryHosts(values, true, arguments.entryHosts, reason)) {
                return std::nullopt;
            }
            return arguments;
        });
    }

    std::optional<Command> parseDrain(const Words& words, LastReason& reason)
    {
        CommandSyntax syntax { .usage = "siskinctl drain [OPTION]... HOST",
            .summary = "Asks an entry host, named by the URL of its peer port, for a planned stop: no new work; open requests end as usual.",
            .positional = "HOST",
            .maxPositional = 1 };
        addWaitOptions(syntax, "wait until its process has ended");
        return finish<DrainArguments>(parseWords(syntax, words, reason), syntax, reason, [&](const po::variables_map& values) -> std::optional<DrainArguments> {
            DrainArguments arguments;
            if (!values.count("HOST")) {
                return fail(reason, ResultCode::MalformedRequest, "drain needs the HOST, http://IP:port of its peer port");
            }
            arguments.host = wordsOf(values, "HOST").front();
            if (!readWait(values, arguments.wait, arguments.waitTimeout, reason) || !checkUrl("HOST", arguments.host, reason)) {
                return std::nullopt;
            }
            return arguments;
        });
    }

    std::optional<Command> parseLosses(const Words& words, LastReason& reason)
    {
        CommandSyntax syntax { .usage = "siskinctl losses [OPTION]... FILE...",
            .summary = "Counts by cause, from hosts' log lines, the requests that were not served or were served late. FILE \"-\" is the standard input.",
            .positional = "FILE" };
        syntax.options.add_options()("late", po::value<int64_t>()->default_value(defaultLateMs)->value_name("MS"), "first bytes after this time count as late");
        return finish<LossesArguments>(parseWords(syntax, words, reason), syntax, reason, [&](const po::variables_map& values) -> std::optional<LossesArguments> {
            LossesArguments arguments { .common = {}, .files = wordsOf(values, "FILE"), .late = std::chrono::milliseconds { values["late"].as<int64_t>() } };
            if (arguments.files.empty() || arguments.late.count() < 1) {
                return fail(reason, ResultCode::MalformedRequest, "losses needs at least one file of log lines, and --late above zero");
            }
            return arguments;
        });
    }

    constexpr std::array commands {
        CommandInfo { "check", "check service files and settings without sending them anywhere", parseCheck },
        CommandInfo { "publish", "make service files the configuration in force", parsePublish },
        CommandInfo { "status", "show configuration, entry hosts and backend servers", parseStatus },
        CommandInfo { "account", "show what became of one request", parseAccount },
        CommandInfo { "losses", "count by cause, from log lines, what callers lost", parseLosses },
        CommandInfo { "drain", "ask an entry host for a planned stop", parseDrain },
    };

    std::string overview()
    {
        std::string text = "usage: siskinctl COMMAND [OPTION]... [ARGUMENT]...\n       siskinctl --help | --version\n\ncommands:\n";
        for (const CommandInfo& command : commands) {
            text += "  " + (command.name + std::string(10, ' ')).substr(0, 10) + command.summary + "\n";
        }
        return text + "\n`siskinctl COMMAND --help` describes the options of a command.\n";
    }

} // namespace

std::optional<Command> parseCommandLine(std::span<const std::string> arguments, LastReason& reason)
{
    if (arguments.empty()) {
        return fail(reason, ResultCode::MalformedRequest, "no command given; see siskinctl --help");
    }
    const std::string& first = arguments.front();
    if (first == "--help" || first == "-h") {
        return ShowText { overview() };
    }
    if (first == "--version") {
        return ShowText { "siskinctl " SISKINSPREAD_VERSION "\n" };
    }
    for (const CommandInfo& command : commands) {
        if (first == command.name) {
            return command.parse({ arguments.begin() + 1, arguments.end() }, reason);
        }
    }
    return fail(reason, ResultCode::MalformedRequest, "\"" + first + "\" is not a command; see siskinctl --help");
}

} // namespace siskinspread
