// The daemon's command line and exit codes, as docs/OPERATORS.md gives them, beside those of siskinctl.

#include "support/Programs.h"
#include "support/TempDirectory.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace siskinspread::testing {

namespace {

    constexpr int exitOk = 0;
    constexpr int exitInvalidSettings = 1;
    constexpr int exitUsage = 2;
    constexpr int exitCannotStart = 4;

    const std::string goodSettings = SISKINSPREAD_SOURCE "/examples/cehasa/hosts/";

    /** How a program ended, and what it said on standard output and standard error. */
    struct Outcome {
        int exitCode { -1 };
        std::string text;
    };

    std::string contentOf(const std::filesystem::path& path)
    {
        std::ostringstream content;
        content << std::ifstream { path }.rdbuf();
        return content.str();
    }

    /** @return the lines up to the end of the output, which readLine reports by an exception. */
    std::string outputOf(ChildProcess& process)
    {
        std::string output;
        try {
            while (true) {
                output += process.readLine() + "\n";
            }
        } catch (const std::runtime_error&) {
            return output;
        }
    }

    Outcome run(const std::filesystem::path& program, std::vector<std::string> arguments)
    {
        const TempDirectory directory;
        const std::filesystem::path errors = directory.path() / "errors";
        ChildProcess process { { .program = (buildDirectory() / "packages" / program).string(), .arguments = std::move(arguments), .errorFile = errors.string() } };
        const std::string output = outputOf(process);
        const auto end = process.waitForEnd();
        REQUIRE(end);
        return { .exitCode = end->exitCode.value_or(-1), .text = output + contentOf(errors) };
    }

    Outcome daemon(std::vector<std::string> arguments)
    {
        return run("daemon/siskinspread", std::move(arguments));
    }

    std::filesystem::path anyExample()
    {
        return std::filesystem::directory_iterator { goodSettings } -> path();
    }

} // namespace

TEST_CASE("the daemon's exit code says what was wrong with its command line or settings")
{
    CHECK(daemon({ "--help" }).exitCode == exitOk);
    CHECK(daemon({ "--version" }).exitCode == exitOk);
    CHECK(daemon({}).exitCode == exitUsage);
    CHECK(daemon({ "--no-such-option" }).exitCode == exitUsage);
    CHECK(daemon({ "--settings", "no-such-file.toml" }).exitCode == exitInvalidSettings);
    CHECK(daemon({ "--settings", anyExample().string(), "--check-settings" }).exitCode == exitOk);
}

TEST_CASE("settings that the platform hands to a process are checked by name")
{
    const TempDirectory directory;
    const std::filesystem::path file = directory.path() / "boot.toml";
    const std::string good = "node_name = \"h\"\nzone = \"z\"\nport_range = [7600, 7615]\n[listen]\nfront = \"127.0.0.1:1\"\nready_address = \"127.0.0.1:2\"\n"
                             "[limits]\nmemory_mb = 260\nmax_fds = 4200\n[platform]\naddress = \"127.0.0.1:3\"\n";
    std::ofstream { file } << good;
    CHECK(daemon({ "--platform", "--settings", file.string(), "--check-settings" }).exitCode == exitOk);
    std::ofstream { file } << "port_range = 7600\n"
                           << good.substr(0, good.find("port_range")) << good.substr(good.find("[listen]"));
    const Outcome bad = daemon({ "--platform", "--settings", file.string() });
    CHECK(bad.exitCode == exitInvalidSettings);
    CHECK_MESSAGE(bad.text.find("port_range") != std::string::npos, bad.text);
    CHECK(daemon({ "--platform" }).exitCode == exitUsage);
}

TEST_CASE("the daemon and siskinctl say the same of settings with a fault")
{
    const TempDirectory directory;
    const std::filesystem::path file = directory.path() / "bad.toml";
    std::ofstream { file } << "typo = 1\n"
                           << contentOf(anyExample());
    const Outcome atStart = daemon({ "--settings", file.string() });
    const Outcome checked = daemon({ "--settings", file.string(), "--check-settings" });
    const Outcome byControl = run("ctl/siskinctl", { "check", "--settings", file.string() });
    for (const Outcome& outcome : { atStart, checked, byControl }) {
        CHECK(outcome.exitCode == exitInvalidSettings);
        CHECK_MESSAGE(outcome.text.find("bad.toml:1: typo: ") != std::string::npos, outcome.text);
    }
}

TEST_CASE("a daemon whose port is taken says so and ends")
{
    const StandIn other { "standin_cloud" };
    const std::string port = other.address().substr(other.address().find(':') + 1);
    const TempDirectory directory;
    const std::filesystem::path file = directory.path() / "host.toml";
    std::ofstream { file } << "[host]\nname = \"a\"\nfailure_domain = \"one\"\n[listen]\naddress = \"127.0.0.1\"\ncaller_port = " << port
                           << "\npeer_port = 1\nheartbeat_port = 1\n[platform]\nobject_api = \"http://127.0.0.1:1\"\n";
    const Outcome outcome = daemon({ "--settings", file.string() });
    CHECK_MESSAGE(outcome.exitCode == exitCannotStart, outcome.text);
    CHECK_FALSE(outcome.text.empty());
}

} // namespace siskinspread::testing
