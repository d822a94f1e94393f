#include "siskinspread/Metrics.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <optional>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace siskinspread {

namespace {

    /** @return the value of the one series of `name` whose labels contain every one of `labels`, or nothing. */
    std::optional<double> valueOf(const Metrics& metrics, const std::string& name, const std::vector<std::string>& labels)
    {
        std::istringstream text { metrics.metricsText() };
        for (std::string line; std::getline(text, line);) {
            const bool matches = line.starts_with(name + "{") && std::ranges::all_of(labels, [&](const std::string& label) { return line.find(label) != std::string::npos; });
            if (matches) {
                return std::stod(line.substr(line.rfind(' ')));
            }
        }
        return std::nullopt;
    }

} // namespace

TEST_CASE("every reason has a refusal and a retry counter from the start")
{
    Metrics metrics { { .host = "gauteng-1a", .failureDomain = "gauteng-1" } };
    for (const ResultInfo& info : resultTable()) {
        if (info.code == ResultCode::Ok) {
            continue;
        }
        const std::string reason = "reason=\"" + std::string { info.name } + "\"";
        CHECK(valueOf(metrics, "siskinspread_refusals_total", { reason, "host=\"gauteng-1a\"", "failure_domain=\"gauteng-1\"" }) == 0);
        CHECK(valueOf(metrics, "siskinspread_retries_total", { reason }) == 0);
        metrics.countRefusal(info.code);
        metrics.countRetry(info.code);
        metrics.countRetry(info.code);
        CHECK(valueOf(metrics, "siskinspread_refusals_total", { reason }) == 1);
        CHECK(valueOf(metrics, "siskinspread_retries_total", { reason }) == 2);
    }
}

TEST_CASE("requests, tokens, store calls, rings and gauges are counted under their labels")
{
    Metrics metrics { {} };
    metrics.countRequest("drafting", ResultCode::Ok);
    metrics.countRequest("drafting", ResultCode::PoolFull);
    metrics.countTokensDelivered("drafting", 40);
    metrics.countTokensRecomputed("drafting", 3);
    metrics.countStoreCall(StorePurpose::CloudApi, StoreOutcome::Unavailable);
    metrics.countRingRefusal(Ring::DecideToPeers);
    metrics.changeOpenRequests(2);
    metrics.changeOpenRequests(-1);
    metrics.setConfigurationRevision(12);
    CHECK(valueOf(metrics, "siskinspread_requests_total", { "service=\"drafting\"", "result=\"pool_full\"" }) == 1);
    CHECK(valueOf(metrics, "siskinspread_tokens_delivered_total", { "service=\"drafting\"" }) == 40);
    CHECK(valueOf(metrics, "siskinspread_tokens_recomputed_total", { "service=\"drafting\"" }) == 3);
    CHECK(valueOf(metrics, "siskinspread_store_calls_total", { "purpose=\"cloud_api\"", "outcome=\"unavailable\"" }) == 1);
    CHECK(valueOf(metrics, "siskinspread_ring_refusals_total", { "ring=\"decide_to_peers\"" }) == 1);
    CHECK(valueOf(metrics, "siskinspread_ring_refusals_total", { "ring=\"callers_to_decide\"" }) == 0);
    CHECK(valueOf(metrics, "siskinspread_open_requests", {}) == 1);
    CHECK(valueOf(metrics, "siskinspread_configuration_revision", {}) == 12);
}

TEST_CASE("the number of service labels is bounded")
{
    Metrics metrics { {} };
    for (size_t number = 0; number < maxServiceLabels + 5; ++number) {
        metrics.countRequest("service-" + std::to_string(number), ResultCode::Ok);
    }
    CHECK(valueOf(metrics, "siskinspread_requests_total", { "service=\"other\"" }) == 5);
}

// Names of services are the operators': none may end a line or begin a series.
TEST_CASE("a service's name cannot break a line or a label")
{
    Metrics metrics { { .host = "gauteng-1a", .failureDomain = "gauteng-1" } };
    metrics.countRequest("a\"} 7\nsiskinspread_open_requests 9\\", ResultCode::Ok);
    CHECK(valueOf(metrics, "siskinspread_requests_total", { R"(service="a\"} 7\nsiskinspread_open_requests 9\\")" }) == 1);
    CHECK(metrics.metricsText().find("\nsiskinspread_open_requests 9") == std::string::npos);
}

TEST_CASE("the page on observability describes every metric and label and names no other metric")
{
    Metrics metrics { {} };
    metrics.countRequest("drafting", ResultCode::Ok);
    metrics.countTokensDelivered("drafting", 1);
    metrics.countTokensRecomputed("drafting", 1);
    metrics.countStoreCall(StorePurpose::Status, StoreOutcome::Answered);
    std::ostringstream page;
    page << std::ifstream { SISKINSPREAD_SOURCE "/docs/OBSERVABILITY.md" }.rdbuf();
    const std::string text = metrics.metricsText();
    const std::regex label { "([a-z_]+)=\"" };
    for (std::sregex_iterator match { text.begin(), text.end(), label }, end; match != end; ++match) {
        CHECK_MESSAGE(page.str().find("`" + match->str(1) + "`") != std::string::npos, match->str(1));
    }
    const std::regex name { "siskinspread_[a-z_]+" };
    const auto namesIn = [&](const std::string& source) {
        std::set<std::string> names;
        for (std::sregex_iterator match { source.begin(), source.end(), name }, end; match != end; ++match) {
            names.insert(match->str());
        }
        return names;
    };
    CHECK(namesIn(page.str()) == namesIn(text));
}

} // namespace siskinspread
