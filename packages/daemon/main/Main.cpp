#include "siskinspread/Daemon.h"
#include "siskinspread/ForwardingHost.h"
#include "siskinspread/ProcessSignals.h"
#include "siskinspread/SettingsFile.h"
#include "siskinspread/platform/Adapter.h"
#include "siskinspread/platform/BootSettings.h"

#include <boost/program_options.hpp>
#include <curl/curl.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

namespace options = boost::program_options;

// Those that siskinctl has as well mean the same there.
constexpr int exitOk = 0;
constexpr int exitInvalidSettings = 1;
constexpr int exitUsage = 2;
constexpr int exitCannotStart = 4;

siskinspread::Daemon* runningDaemon = nullptr;

extern "C" void onStopSignal(int)
{
    runningDaemon->requestStop();
}

int runDaemon(const std::string& path, bool onlyCheck)
{
    siskinspread::LastReason reason;
    auto settings = siskinspread::loadSettings(path, reason);
    if (!settings) {
        std::cerr << reason.detail << '\n';
        return exitInvalidSettings;
    }
    if (onlyCheck) {
        return exitOk;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    std::signal(SIGPIPE, SIG_IGN);
    siskinspread::Daemon daemon { std::move(*settings) };
    runningDaemon = &daemon;
    std::signal(SIGTERM, onStopSignal);
    std::signal(SIGINT, onStopSignal);
    siskinspread::unblockProcessSignals();
    if (!daemon.run(reason)) {
        std::cerr << reason.detail << '\n';
        return exitCannotStart;
    }
    return exitOk;
}

/** Runs on a host of the platform, whose settings come from a file that the platform writes. */
int runForwardingHost(const std::string& path, bool onlyCheck)
{
    siskinspread::LastReason reason;
    auto settings = siskinspread::platform::loadBootSettings(path, reason);
    if (!settings) {
        std::cerr << reason.detail << '\n';
        return exitInvalidSettings;
    }
    if (onlyCheck) {
        return exitOk;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    std::signal(SIGPIPE, SIG_IGN);
    auto adapter = siskinspread::platform::makeAdapter(*settings);
    siskinspread::ForwardingHost host { std::move(*settings), std::move(adapter) };
    if (!host.run(reason)) {
        std::cerr << reason.detail << '\n';
        return exitCannotStart;
    }
    return exitOk;
}

} // namespace

int main(int argc, char** argv)
{
    siskinspread::blockProcessSignals();
    options::options_description description { "siskinspread: the daemon of an entry host\n\nOptions" };
    description.add_options()("help", "show this text")("version", "show the version")("settings", options::value<std::string>(), "settings file, TOML")("check-settings", "check the settings file and exit")("platform", "forward to the replicas of a platform; the settings are those that it hands to a process");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
    } catch (const options::error& error) {
        std::cerr << error.what() << '\n';
        return exitUsage;
    }
    if (values.contains("help")) {
        std::cout << description;
        return exitOk;
    }
    if (values.contains("version")) {
        std::cout << "siskinspread " << SISKINSPREAD_VERSION << '\n';
        return exitOk;
    }
    if (values.contains("platform")) {
        const char* path = std::getenv(siskinspread::platform::bootSettingsVariable);
        if (path == nullptr && !values.contains("settings")) {
            std::cerr << "--platform needs --settings FILE or the variable " << siskinspread::platform::bootSettingsVariable << '\n';
            return exitUsage;
        }
        return runForwardingHost(values.contains("settings") ? values["settings"].as<std::string>() : std::string { path }, values.contains("check-settings"));
    }
    if (!values.contains("settings")) {
        std::cerr << "--settings FILE is required\n";
        return exitUsage;
    }
    return runDaemon(values["settings"].as<std::string>(), values.contains("check-settings"));
}
