#include "Holds.h"

#include "Eventually.h"

namespace siskinspread::testing {
namespace {

    /** @return whether the answer is to come back: no owner after the start or a death, or another try in progress. */
    bool isToComeBack(const HttpResponse& response)
    {
        const std::string code = response.header("x-result-code");
        return code == "300" || code == "301" || code == "302" || code == "304" || code == "305" || code == "307";
    }

    /** @return the index of the host that recorded the account, or hostCount() where none of them did. */
    size_t recorderOf(const Deployment& deployment, const nlohmann::json& account)
    {
        const auto recordedBy = account.value("recorded_by", "");
        size_t recorder = 0;
        while (recorder < deployment.hostCount() && !recordedBy.starts_with(deployment.host(recorder).name + ".")) {
            ++recorder;
        }
        return recorder;
    }

} // namespace

HttpResponse hold(const Deployment& deployment, size_t host, const std::string& key, const std::string& body)
{
    return httpCall({ .method = "POST",
        .url = deployment.host(host).url("/ledger/holds"),
        .headers = { Deployment::authorization(), "Idempotency-Key: " + key, "X-Deadline-Ms: 10000" },
        .body = body });
}

nlohmann::json errorOf(const HttpResponse& response)
{
    return nlohmann::json::parse(response.body).at("error");
}

HttpResponse holdWhenOwned(const Deployment& deployment, size_t host, const std::string& key)
{
    HttpResponse response;
    eventually("an owner of " + key, [&] {
        response = hold(deployment, host, key);
        return response.status != 0 && !isToComeBack(response);
    });
    return response;
}

HttpResponse holdUntilTaken(const Deployment& deployment, size_t host, const std::string& key)
{
    HttpResponse response;
    eventually("an owner of " + key, [&] {
        response = hold(deployment, host, key);
        return !isToComeBack(response) || response.header("x-run-state") != "not_run";
    });
    return response;
}

int runs(const Deployment& deployment, const std::string& key)
{
    const auto counters = nlohmann::json::parse(httpCall({ .url = deployment.ledger(0).url("/control/runs") }).body);
    return counters.value(key, 0);
}

std::optional<nlohmann::json> accountOf(const Deployment& deployment, size_t asked, const std::string& key)
{
    const auto response = httpCall({ .url = deployment.host(asked).url("/accounts?key=" + key), .headers = { Deployment::authorization() } });
    if (response.status != 200) {
        return std::nullopt;
    }
    return nlohmann::json::parse(response.body);
}

nlohmann::json finalAccountOf(const Deployment& deployment, size_t asked, const std::string& key)
{
    nlohmann::json found;
    eventually("the account of " + key + " is final", [&] {
        found = accountOf(deployment, asked, key).value_or(nlohmann::json::object());
        return found.value("standing", "") == "final";
    });
    return found;
}

size_t ownerOf(const Deployment& deployment, size_t asked, const std::string& key, int attempts)
{
    size_t owner = deployment.hostCount();
    eventually("an account of " + key, [&] {
        const auto account = accountOf(deployment, asked, key);
        const bool isKnown = account && account->contains("attempts") && account->at("attempts").is_number();
        if (!account || (isKnown ? account->at("attempts").get<int>() : 0) < attempts) {
            return false;
        }
        owner = recorderOf(deployment, *account);
        return owner < deployment.hostCount();
    });
    return owner;
}

DelayedHold::DelayedHold(const Deployment& deployment, size_t host, std::string idempotencyKey)
    : key(std::move(idempotencyKey))
    , response(std::async(std::launch::async, [&deployment, host, name = key] { return holdUntilTaken(deployment, host, name); }))
    , owner(ownerOf(deployment, host, key, 1))
{
}

void prepareDelayedHolds(Deployment& deployment, std::chrono::milliseconds delay)
{
    holdWhenOwned(deployment, 0, "warm");
    deployment.ledger(0).setFaults(R"({"delay_ms":)" + std::to_string(delay.count()) + "}");
}

void waitForCopyHolders(Deployment& deployment)
{
    eventually("every owner has declared a copy holder", [&] {
        const auto counters = nlohmann::json::parse(httpCall({ .url = deployment.objectApi().url("/control/counters") }).body);
        return counters.at("writes_by_prefix").value("log", 0) >= static_cast<int>(deployment.hostCount());
    });
}

void endDelay(const Deployment& deployment)
{
    deployment.ledger(0).setFaults(R"({"delay_ms":0})");
}

} // namespace siskinspread::testing
