#include "siskinspread/SettingsFile.h"

#include <doctest/doctest.h>

#include <string>

namespace siskinspread {

namespace {

    const std::string goodSettings = R"([host]
name = "gauteng-1a"
failure_domain = "gauteng-1"
[listen]
address = "127.0.0.1"
caller_port = 7001
peer_port = 7002
heartbeat_port = 7002
[platform]
object_api = "http://127.0.0.1:7900"
[[peers]]
name = "gauteng-1b"
failure_domain = "gauteng-1"
address = "127.0.0.1"
peer_port = 7012
heartbeat_port = 7012
[limits]
max_open_requests = 512
[drain]
grace_ms = 5000
)";

    /** One edit of the good settings and the problem that it has to give. */
    struct BadEdit {
        std::string from;
        std::string to;
        uint32_t line;
        std::string key;
        std::string text;
    };

    std::string edited(const BadEdit& edit)
    {
        std::string text = goodSettings;
        const size_t at = text.find(edit.from);
        REQUIRE(at != std::string::npos);
        return text.replace(at, edit.from.size(), edit.to);
    }

    std::vector<SettingsProblem> problemsOf(const std::string& text)
    {
        LastReason reason;
        std::vector<SettingsProblem> problems;
        CHECK_FALSE(parseSettings(text, "host.toml", reason, &problems));
        CHECK(reason.code == ResultCode::InvalidSettings);
        CHECK(reason.detail == formatProblems(problems));
        return problems;
    }

} // namespace

TEST_CASE("good settings are accepted and absent keys get their defaults")
{
    LastReason reason;
    const auto settings = parseSettings(goodSettings, "host.toml", reason);
    REQUIRE_MESSAGE(settings, reason.detail);
    CHECK(settings->limits().max_open_requests() == 512);
    CHECK(settings->limits().ring_capacity() == 4096);
    CHECK(settings->platform().timeout_ms() == 1000);
    CHECK(settings->log().level() == schema::LogSettings::INFO);
}

TEST_CASE("each bad setting is refused with its line, its key and what is allowed")
{
    const std::vector<BadEdit> edits {
        { "name = \"gauteng-1a\"", "nmae = \"gauteng-1a\"", 2, "host.nmae", "is not a known key; allowed: name, failure_domain, region" },
        { "name = \"gauteng-1a\"", "", 1, "host.name", "is missing; allowed: a name of" },
        { "name = \"gauteng-1a\"", "name = \"Gauteng 1a\"", 2, "host.name", "is \"Gauteng 1a\"; allowed: a name of" },
        { "name = \"gauteng-1a\"", "name = 7", 2, "host.name", "is a whole number; allowed: a name of" },
        { "\"127.0.0.1\"", "\"localhost\"", 5, "listen.address", "is \"localhost\"; allowed: an IP number" },
        { "\"127.0.0.1\"", "\"0.0.0.0\"", 5, "listen.address", "allowed: an IP number" },
        { "7001", "\"7001\"", 6, "listen.caller_port", "is the string \"7001\"; allowed: a whole number from 1 to 65535" },
        { "7001", "70000", 6, "listen.caller_port", "is 70000; allowed: a whole number from 1 to 65535" },
        { "7001", "-1", 6, "listen.caller_port", "is -1; allowed: a whole number from 1 to 65535" },
        { "7001", "7001.0", 6, "listen.caller_port", "is a floating-point number; allowed: a whole number" },
        { "7001", "1979-05-27", 6, "listen.caller_port", "is a date or time; allowed" },
        { "7001", "7002", 7, "listen.peer_port", "same TCP port as listen.caller_port" },
        { "http://127.0.0.1:7900", "127.0.0.1:7900", 10, "platform.object_api", "allowed: http://IP:port" },
        { "[platform]\nobject_api = \"http://127.0.0.1:7900\"", "", 1, "platform", "is missing; allowed: a table" },
        { "[platform]", "platform = 3\n[platfrm]", 9, "listen.platform", "is not a known key" },
        { "\"gauteng-1b\"", "\"gauteng-1a\"", 12, "peers[0].name", "is the name of this host or of another peer" },
        { "7012\nheartbeat", "7002\nheartbeat", 15, "peers[0].peer_port", "127.0.0.1 port 7002 belongs to this host" },
        { "heartbeat_port = 7012", "heartbeat_port = 7002", 16, "peers[0].heartbeat_port", "belongs to this host" },
        { "512", "0", 18, "limits.max_open_requests", "is 0; allowed: a whole number from 1 to 100000" },
        { "[[peers]]", "[peers]", 11, "peers", "is a table; allowed: a list of tables" },
        { "5000", "999", 20, "drain.grace_ms", "is 999; allowed: at least platform.timeout_ms, which is 1000" },
        { "[drain]", "[log]\nlevel = \"loud\"\n[drain]", 20, "log.level", "allowed: one of \"debug\", \"info\", \"warning\", \"error\"" },
        { "[listen]", "[listen", 4, "", "is not valid TOML" },
        { "[drain]", "[host]", 19, "", "is not valid TOML" },
    };
    for (const BadEdit& edit : edits) {
        CAPTURE(edit.to);
        const std::vector<SettingsProblem> problems = problemsOf(edited(edit));
        REQUIRE(!problems.empty());
        const auto found = std::ranges::find_if(problems, [&](const SettingsProblem& problem) { return problem.key == edit.key; });
        REQUIRE_MESSAGE(found != problems.end(), formatProblems(problems));
        CHECK(found->file == "host.toml");
        CHECK_MESSAGE(found->line == edit.line, formatProblem(*found));
        CHECK_MESSAGE(found->text.find(edit.text) != std::string::npos, formatProblem(*found));
    }
}

TEST_CASE("all problems are reported, in the order of the file")
{
    const std::vector<SettingsProblem> problems = problemsOf("[host]\nname = 3\ncolour = \"red\"\n[limits]\nring_capacity = 1\n");
    std::vector<std::string> keys;
    keys.reserve(problems.size());
    for (const SettingsProblem& problem : problems) {
        keys.push_back(problem.key);
    }
    CHECK(keys == std::vector<std::string> { "host.failure_domain", "listen", "platform", "host.name", "host.colour", "limits.ring_capacity" });
}

TEST_CASE("a file that cannot be read is one problem without a line")
{
    LastReason reason;
    std::vector<SettingsProblem> problems;
    CHECK_FALSE(loadSettings("no-such-directory/host.toml", reason, &problems));
    REQUIRE(problems.size() == 1);
    CHECK(formatProblem(problems[0]) == "no-such-directory/host.toml: cannot be read: No such file or directory");
    CHECK(reason.detail == formatProblem(problems[0]));
}

} // namespace siskinspread
