#include "support/Eventually.h"
#include "support/Holds.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <stdexcept>
#include <thread>
#include <vector>

namespace siskinspread::testing {
namespace {

    // Hosts 0 and 2 are the first failure domain, 1 and 3 the second.
    const DeploymentOptions twoDomains { .failureDomains = 2, .hostsPerFailureDomain = 2, .engines = 0, .ledgers = 1, .cloud = true };
    constexpr size_t witness = 1;
    // Longer than any silence after which a host was ever held to have ended.
    constexpr std::chrono::seconds longSilence { 15 };

    std::string recorderOf(const Deployment& deployment, const std::string& key)
    {
        return finalAccountOf(deployment, witness, key).at("recorded_by").get<std::string>();
    }

    /** Sends new holds. @return the key of the first that an incarnation whose name starts so has answered. */
    std::string holdAnsweredBy(const Deployment& deployment, const std::vector<std::string>& names, const std::string& prefix)
    {
        constexpr int maxKeys = 100; // of four owners each gets one of these
        for (int i = 0; i < maxKeys; ++i) {
            std::string key = prefix + std::to_string(i);
            CHECK(holdWhenOwned(deployment, witness, key).status == 200);
            const std::string recorder = recorderOf(deployment, key);
            if (std::any_of(names.begin(), names.end(), [&](const std::string& name) { return recorder.starts_with(name); })) {
                return key;
            }
        }
        throw std::runtime_error("none of " + names.front() + " ... answered a hold");
    }

} // namespace

TEST_CASE("a failure domain that is lost whole is taken over when the cloud says that its hosts have ended, not before")
{
    Deployment deployment { twoDomains };
    const std::string key = holdAnsweredBy(deployment, { "host-0", "host-2" }, "before-");
    deployment.host(0).process->kill();
    deployment.host(2).process->kill();
    std::this_thread::sleep_for(longSilence);
    const HttpResponse refused = hold(deployment, witness, key);
    CAPTURE(refused.body);
    CHECK(errorOf(refused).at("name") == "slice_owner_unreachable");
    CHECK(errorOf(refused).at("run_state") == "not_run");
    httpCall({ .method = "POST", .url = deployment.cloud().url("/control/ended"), .body = R"({"hosts":["host-0","host-2"]})" });
    const HttpResponse replay = holdWhenOwned(deployment, witness, key);
    CAPTURE(replay.body);
    CHECK(replay.status == 200);
    CHECK(replay.header("x-replay-of") != "");
    CHECK(runs(deployment, key) == 1);
}

TEST_CASE("a failure domain that is silent for long, and whose hosts run, keeps its logs and its slices")
{
    Deployment deployment { twoDomains };
    const std::string key = holdAnsweredBy(deployment, { "host-0", "host-2" }, "before-");
    const std::string owner = recorderOf(deployment, key);
    deployment.host(0).process->sendSignal(SIGSTOP);
    deployment.host(2).process->sendSignal(SIGSTOP);
    std::this_thread::sleep_for(longSilence);
    deployment.host(0).process->sendSignal(SIGCONT);
    deployment.host(2).process->sendSignal(SIGCONT);
    const std::string later = holdAnsweredBy(deployment, { owner }, "after-"); // its log is still open
    CHECK(runs(deployment, later) == 1);
    const HttpResponse replay = holdWhenOwned(deployment, witness, key);
    CHECK(replay.header("x-replay-of") != "");
    CHECK(runs(deployment, key) == 1);
}

} // namespace siskinspread::testing
