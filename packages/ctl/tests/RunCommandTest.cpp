#include "siskinspread/RunCommand.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <doctest/trompeloeil.hpp>

#include <sstream>

namespace siskinspread {

namespace {

    class MockOperatorApi : public OperatorApi {
    public:
        MAKE_MOCK3(publish, std::optional<PublishReport>(const PublishArguments&, std::span<const ServiceDocument>, LastReason&), override);
        MAKE_MOCK2(status, std::optional<SystemStatus>(const StatusArguments&, LastReason&), override);
        MAKE_MOCK2(account, std::optional<AccountAnswer>(const AccountArguments&, LastReason&), override);
        MAKE_MOCK2(drain, std::optional<DrainReport>(const DrainArguments&, LastReason&), override);
    };

    const std::string examples = SISKINSPREAD_SOURCE "/examples/";
    const std::string host = "http://127.0.0.1:7100";
    const std::string requestId = "gauteng-1a.00f3a1b2c4d5e6f7-7";

    struct Outcome {
        ExitCode code;
        std::string output;
        std::string errors;
    };

    Outcome run(const std::vector<std::string>& arguments, OperatorApi& api)
    {
        std::ostringstream output;
        std::ostringstream errors;
        const ExitCode code = runCommand(arguments, api, { .output = output, .errors = errors });
        return { .code = code, .output = output.str(), .errors = errors.str() };
    }

    Outcome run(const std::vector<std::string>& arguments)
    {
        MockOperatorApi api;
        return run(arguments, api);
    }

} // namespace

TEST_CASE("help and version are printed, for the program and for each command")
{
    CHECK(run({ "--version" }).output.starts_with("siskinctl 0."));
    const Outcome help = run({ "--help" });
    CHECK(help.code == ExitCode::Success);
    for (const std::string command : { "check", "publish", "status", "account", "losses", "drain" }) {
        CHECK(help.output.find("\n  " + command + " ") != std::string::npos);
        const Outcome commandHelp = run({ command, "--help" });
        CHECK(commandHelp.code == ExitCode::Success);
        CHECK(commandHelp.output.starts_with("usage: siskinctl " + command));
        CHECK(commandHelp.output.find("--output FORMAT") != std::string::npos);
    }
}

TEST_CASE("a command line that is not understood is a usage error that says why")
{
    struct BadLine {
        std::vector<std::string> arguments;
        std::string text;
    };
    const std::vector<BadLine> lines {
        { {}, "no command given" },
        { { "chekc" }, "\"chekc\" is not a command" },
        { { "check" }, "check needs a service file" },
        { { "check", "a.toml", "--outptu", "json" }, "unrecognised option '--outptu'" },
        { { "check", "a.toml", "--out", "json" }, "unrecognised option '--out'" },
        { { "check", "a.toml", "--output", "xml" }, "--output is \"xml\"; allowed: text or json" },
        { { "check", "a.toml", "--timeout", "0" }, "--timeout is 0; allowed: 1 to 600000" },
        { { "check", "a.toml", "--timeout", "soon" }, "the argument ('soon') for option '--timeout' is invalid" },
        { { "publish", "a.toml" }, "publish needs --object-api URL" },
        { { "publish", "--object-api", "platform:80", "a.toml" }, "--object-api is \"platform:80\"; allowed: http://IP:port" },
        { { "publish", "--object-api", host, "--wait", "a.toml" }, "--entry-host URL is needed" },
        { { "publish", "--object-api", host, "--wait-timeout", "9999", "a.toml" }, "--wait-timeout is 9999; allowed: 1 to 3600" },
        { { "status" }, "--entry-host URL is needed" },
        { { "status", "--entry-host", "gauteng" }, "--entry-host is \"gauteng\"" },
        { { "account", "--entry-host", host }, "account needs either the id of a request or --key KEY" },
        { { "account", "--entry-host", host, "--key", "k", requestId }, "account needs either" },
        { { "account", "--entry-host", host, "seven" }, "a request id has the form INCARNATION-SEQUENCE" },
        { { "account", "--entry-host", host, requestId, requestId }, "too many positional options" },
        { { "drain" }, "drain needs the HOST" },
        { { "drain", "one-a" }, "HOST is \"one-a\"; allowed: http://IP:port" },
        { { "drain", host, host }, "too many positional options" },
    };
    for (const BadLine& line : lines) {
        const Outcome outcome = run(line.arguments);
        CHECK(outcome.code == ExitCode::Usage);
        CHECK(outcome.output.empty());
        CHECK_MESSAGE(outcome.errors.find(line.text) != std::string::npos, outcome.errors);
    }
}

TEST_CASE("check passes the examples and refuses two files that claim one service")
{
    const Outcome good = run({ "check", "--settings", examples + "cehasa/hosts/gauteng-1a.toml", examples + "cehasa/services" });
    CHECK_MESSAGE(good.code == ExitCode::Success, good.output);
    CHECK(good.output == "4 files checked, 0 problems\n");

    const Outcome named = run({ "check", examples + "cehasa/services", examples + "cehasa/services/ledger.toml" });
    CHECK_MESSAGE(named.code == ExitCode::Success, named.output);

    const Outcome alone = run({ "check", "--output", "json", examples + "zafran/services/orders.toml", "--settings", "no-such-file.toml" });
    CHECK(alone.code == ExitCode::Invalid);
    const auto report = nlohmann::json::parse(alone.output);
    CHECK(report["files"] == 2);
    REQUIRE(report["problems"].size() == 6);
    CHECK(report["problems"][0]["key"] == "services[0].customer_limits[0].customer");
    CHECK(report["problems"][0]["line"].get<int>() > 1);
    CHECK(report["problems"][5]["file"] == "no-such-file.toml");
}

TEST_CASE("publish hands over files that are good, and sends nothing when one is not")
{
    MockOperatorApi api;
    REQUIRE_CALL(api, publish(trompeloeil::_, trompeloeil::_, trompeloeil::_))
        .WITH(_1.objectApi == host && _2.size() == 3 && _1.common.timeout == std::chrono::milliseconds { 250 })
        .RETURN(PublishReport { .revision = 8, .publishId = "p1", .settledByReadBack = true, .changedServices = { "ledger" } });
    const Outcome good = run({ "publish", "--timeout", "250", "--object-api", host, examples + "cehasa/services" }, api);
    CHECK(good.code == ExitCode::Success);
    CHECK(good.output.starts_with("revision      8\npublish id    p1\nchanged       ledger\nnote"));

    const Outcome bad = run({ "publish", "--object-api", host, examples + "cehasa/hosts/gauteng-1a.toml" }, api);
    CHECK(bad.code == ExitCode::Invalid);
    CHECK(bad.errors.find("nothing was published:\n") != std::string::npos);
}

TEST_CASE("publish --wait fails with a code of its own when some hosts lack the revision")
{
    MockOperatorApi api;
    REQUIRE_CALL(api, publish(trompeloeil::_, trompeloeil::_, trompeloeil::_))
        .RETURN(PublishReport { .revision = 8, .spread = RevisionSpread { .inForce = 6, .liveHosts = 7 } });
    const Outcome outcome = run({ "publish", "--object-api", host, "--entry-host", host, "--wait", examples + "cehasa/services" }, api);
    CHECK(outcome.code == ExitCode::NotYet);
    CHECK(outcome.output.find("in force      on 6 of 7 live hosts\n") != std::string::npos);
}

TEST_CASE("a refusal is shown with its code, as text or as JSON, and gives its exit code")
{
    MockOperatorApi api;
    ALLOW_CALL(api, publish(trompeloeil::_, trompeloeil::_, trompeloeil::_))
        .SIDE_EFFECT(fail(_3, ResultCode::VersionConflict, "revision 9 won"))
        .RETURN(std::nullopt);
    ALLOW_CALL(api, account(trompeloeil::_, trompeloeil::_))
        .SIDE_EFFECT(fail(_2, ResultCode::UnknownRequest, "no such request"))
        .RETURN(std::nullopt);
    const Outcome text = run({ "publish", "--object-api", host, examples + "cehasa/services" }, api);
    CHECK(text.code == ExitCode::Refused);
    CHECK(text.errors == "siskinctl: revision 9 won (501 version_conflict)\n");
    const Outcome json = run({ "account", "--output", "json", "--entry-host", host, requestId }, api);
    CHECK(json.code == ExitCode::NotFound);
    CHECK(json.output == "{\"error\":{\"result_code\":108,\"result\":\"unknown_request\",\"detail\":\"no such request\"}}\n");
    CHECK(exitCodeFor(ResultCode::StoreUnavailable) == ExitCode::Unavailable);
}

TEST_CASE("an account tells what became of the request")
{
    const RequestId id { .incarnation = { "gauteng-1a.00f3a1b2c4d5e6f7" }, .sequence = 7 };
    const AccountAnswer answer { .standing = AccountStanding::Final,
        .request = id,
        .account = { .request = id,
            .customer = "grip-depot",
            .service = "ledger",
            .result = ResultCode::OutcomeUnknown,
            .runState = RunState::MayHaveRun,
            .attempts = 1,
            .backendServers = { "ledger-01" },
            .acceptedAt = WallTime { std::chrono::seconds { 1700000000 } },
            .finishedAt = WallTime { std::chrono::seconds { 1700000002 } },
            .entryHost = "gauteng-1a" },
        .key = IdempotencyKey { .customer = "grip-depot", .text = "hold-17" },
        .recordedBy = "gauteng-1b.01",
        .advice = "ask ledger-01 for key hold-17" };
    MockOperatorApi api;
    ALLOW_CALL(api, account(trompeloeil::_, trompeloeil::_)).WITH(_1.requestId == id && !_1.key).RETURN(answer);
    const Outcome text = run({ "account", "--entry-host", host, requestId }, api);
    CHECK(text.code == ExitCode::Success);
    CHECK(text.output == "request       gauteng-1a.00f3a1b2c4d5e6f7-7\nstanding      final\nservice       ledger\ncustomer      grip-depot\nkey           hold-17\n"
                         "result        303 outcome_unknown\n"
                         "meaning       The request may have run; ask the backend server for its record of the key.\nrun           may have run\n"
                         "accepted      2023-11-14 22:13:20 UTC\nfinished      2023-11-14 22:13:22 UTC\nattempts      1\nsent to       ledger-01\n"
                         "entry host    gauteng-1a\nrecorded by   gauteng-1b.01\nadvice        ask ledger-01 for key hold-17\n");
    const auto json = nlohmann::json::parse(run({ "account", "--output", "json", "--entry-host", host, requestId }, api).output);
    CHECK(json["standing"] == "final");
    CHECK(json["run_state"] == "may_have_run");
    CHECK(json["result_code"] == 303);
    CHECK(json["accepted"] == "2023-11-14T22:13:20Z");
    CHECK(json["backend_servers"][0] == "ledger-01");
}

TEST_CASE("attempts that are not known are told as such, with every backend server that may have been sent the request")
{
    AccountAnswer answer;
    answer.standing = AccountStanding::Final;
    answer.account.runState = RunState::MayHaveRun;
    answer.account.attemptsKnown = false;
    answer.account.candidates = { "ledger-02", "ledger-01" };
    MockOperatorApi api;
    ALLOW_CALL(api, account(trompeloeil::_, trompeloeil::_)).RETURN(answer);
    const std::string text = run({ "account", "--entry-host", host, requestId }, api).output;
    CHECK(text.find("attempts      unknown\nmaybe sent to ledger-02\nmaybe sent to ledger-01\n") != std::string::npos);
    const auto json = nlohmann::json::parse(run({ "account", "--output", "json", "--entry-host", host, requestId }, api).output);
    CHECK(json["attempts"].is_null());
    CHECK(json["may_have_been_sent_to"] == nlohmann::json { "ledger-02", "ledger-01" });
}

TEST_CASE("an account may be asked for by key, and an open request has no result yet")
{
    AccountAnswer open;
    open.standing = AccountStanding::InProgress;
    MockOperatorApi api;
    REQUIRE_CALL(api, account(trompeloeil::_, trompeloeil::_))
        .WITH(_1.key == "hold-17" && !_1.requestId && _1.customer == "grip-depot")
        .RETURN(open);
    const Outcome text = run({ "account", "--entry-host", host, "--key", "hold-17", "--customer", "grip-depot" }, api);
    CHECK(text.output.find("standing      still open\n") != std::string::npos);
    CHECK(text.output.find("\nresult ") == std::string::npos);
    CHECK(text.output.find("run           not run so far\n") != std::string::npos);
}

TEST_CASE("status and drain show what the entry host answered")
{
    MockOperatorApi api;
    const SystemStatus status { .observer = "gauteng-1a",
        .configurationRevision = 8,
        .entryHosts = { { .name = "gauteng-1b", .failureDomain = "gauteng-1", .incarnation = "gauteng-1b.01", .state = "alive", .configurationRevision = 8, .openRequests = 3 } },
        .backendServers = { { .name = "ledger-01", .pool = "ledger", .failureDomain = "gauteng-1", .state = "leaving", .openRequests = 1 } } };
    ALLOW_CALL(api, status(trompeloeil::_, trompeloeil::_)).RETURN(status);
    ALLOW_CALL(api, drain(trompeloeil::_, trompeloeil::_)).RETURN(DrainReport { .name = "gauteng-1b", .incarnation = "gauteng-1b.01", .alreadyDraining = true, .openRequests = 1, .graceLeft = std::chrono::seconds { 2 } });
    const Outcome text = run({ "status", "--entry-host", host }, api);
    CHECK(text.output.find("gauteng-1b           gauteng-1        alive             8      3  gauteng-1b.01\n") != std::string::npos);
    CHECK(text.output.find("ledger-01            gauteng-1        leaving         1  ledger\n") != std::string::npos);
    const auto json = nlohmann::json::parse(run({ "status", "--output", "json", "--entry-host", host }, api).output);
    CHECK(json["entry_hosts"][0]["open_requests"] == 3);
    CHECK(json["backend_servers"][0]["state"] == "leaving");
    const Outcome drain = run({ "drain", host }, api);
    CHECK(drain.code == ExitCode::Success);
    CHECK(drain.output == "gauteng-1b was draining already; 1 open request left, for at most 2000 ms\n");
    const auto drainJson = nlohmann::json::parse(run({ "drain", "--output", "json", host }, api).output);
    CHECK(drainJson["state"] == "draining");
    CHECK(drainJson["already_draining"] == true);
    CHECK(drainJson["grace_left_ms"] == 2000);
    CHECK(run({ "drain", "--wait", host }, api).code == ExitCode::NotYet);
}

} // namespace siskinspread
