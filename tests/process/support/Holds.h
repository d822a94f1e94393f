#pragma once

#include "Deployment.h"

#include <chrono>
#include <future>
#include <optional>
#include <string>

namespace siskinspread::testing {

/** Sends a hold, a call that may not be repeated, once. */
HttpResponse hold(const Deployment& deployment, size_t host, const std::string& key, const std::string& body = R"({"item":"dolly"})");

/** @return the error in the body of a refusal. Throws when there is none. */
nlohmann::json errorOf(const HttpResponse& response);

/** Sends again while the answer is to come back: no owner after the start or a death, or another try in progress. */
HttpResponse holdWhenOwned(const Deployment& deployment, size_t host, const std::string& key);

/** Sends again while the call was not run and is to come back; a connection that breaks ends it. */
HttpResponse holdUntilTaken(const Deployment& deployment, size_t host, const std::string& key);

/** @return how often the first ledger ran the call with this key. */
int runs(const Deployment& deployment, const std::string& key);

/** @return the key's account as the asked host tells it, or nothing while it has none. */
std::optional<nlohmann::json> accountOf(const Deployment& deployment, size_t asked, const std::string& key);

/** Polls until the key's account is final at the asked host. @return it. */
nlohmann::json finalAccountOf(const Deployment& deployment, size_t asked, const std::string& key);

/** @return the index of the host that owns the key, once its account says so and counts at least the given attempts. */
size_t ownerOf(const Deployment& deployment, size_t asked, const std::string& key, int attempts = 0);

/**
 * A hold that the ledger delays. The constructor returns when its owner has sent it on to the ledger, and names the owner.
 * Precondition: prepareDelayedHolds.
 */
struct DelayedHold {
    std::string key;
    std::future<HttpResponse> response;
    size_t owner { 0 };

    DelayedHold(const Deployment& deployment, size_t host, std::string idempotencyKey);
};

/** How long the ledger delays each call from prepareDelayedHolds on. */
constexpr std::chrono::milliseconds ledgerDelay { 4000 };

/** Waits until the slices have owners, then delays the ledger. */
void prepareDelayedHolds(Deployment& deployment, std::chrono::milliseconds delay = ledgerDelay);

/** Waits until each host has declared in its log who holds its copies while the store is away. */
void waitForCopyHolders(Deployment& deployment);

/** Ends the delay for calls that come later. */
void endDelay(const Deployment& deployment);

} // namespace siskinspread::testing
