#include "siskinspread/PublishPlan.h"

#include <doctest/doctest.h>

namespace siskinspread {

namespace {

    ConfigurationItem service(const std::string& name, uint64_t fileRevision, const std::string& text)
    {
        return { .key = { ItemKind::Service, name }, .fileRevision = fileRevision, .canonicalText = text, .requiredCustomers = {}, .claims = {} };
    }

    PublishRequest request(const std::string& id, std::vector<ConfigurationItem> items)
    {
        return { .publishId = id, .publisher = "operator " + id, .files = { { .path = id + ".toml", .items = std::move(items) } } };
    }

    ConfigurationImage publish(const ConfigurationImage& base, const PublishRequest& what)
    {
        LastReason reason;
        const auto plan = planPublish(base, what, {}, reason);
        REQUIRE_MESSAGE(plan, reason.detail);
        return plan->next;
    }

    ResultCode refusal(const ConfigurationImage& base, const PublishRequest& what, const PublishOptions& options = {})
    {
        LastReason reason;
        CHECK_FALSE(planPublish(base, what, options, reason));
        CHECK_FALSE(reason.detail.empty());
        return reason.code;
    }

} // namespace

TEST_CASE("a publish replaces the services given and keeps the others")
{
    const auto first = publish({}, request("p1", { service("booking", 1, "a"), service("drafting", 1, "b") }));
    const auto second = publish(first, request("p2", { service("drafting", 2, "c") }));
    CHECK(second.revision == 2);
    CHECK(second.items == std::vector { service("booking", 1, "a"), service("drafting", 2, "c") });
    CHECK(second.history.back().changed == std::vector<ItemKey> { { ItemKind::Service, "drafting" } });
}

TEST_CASE("what is published already needs no write")
{
    const auto first = publish({}, request("p1", { service("booking", 1, "a") }));
    LastReason reason;
    const auto plan = planPublish(first, request("p2", { service("booking", 1, "a") }), {}, reason);
    REQUIRE(plan);
    CHECK(plan->changed.empty());
    CHECK(plan->next == first);
}

TEST_CASE("a stale checkout is refused")
{
    const auto first = publish({}, request("p1", { service("booking", 5, "a") }));
    CHECK(refusal(first, request("p2", { service("booking", 4, "a") })) == ResultCode::StaleRevision);
    CHECK(refusal(first, request("p2", { service("booking", 5, "b") })) == ResultCode::StaleRevision);
}

TEST_CASE("contradictions between files are refused")
{
    PublishRequest twice = request("p1", { service("booking", 1, "a") });
    twice.files.push_back({ .path = "copy.toml", .items = { service("booking", 2, "b") } });
    CHECK(refusal({}, twice) == ResultCode::InvalidConfiguration);

    auto limited = service("booking", 1, "a");
    limited.requiredCustomers = { "grip" };
    CHECK(refusal({}, request("p1", { limited })) == ResultCode::InvalidConfiguration);
    const ConfigurationItem customer { .key = { ItemKind::Customer, "grip" }, .fileRevision = 1, .canonicalText = "k", .requiredCustomers = {}, .claims = {} };
    CHECK(publish({}, request("p1", { limited, customer })).items.size() == 2);

    auto a = service("a", 1, "a");
    auto b = service("b", 1, "b");
    a.claims = { { "backend server s1", "pool x" } };
    b.claims = { { "backend server s1", "pool y" } };
    CHECK(refusal(publish({}, request("p1", { a })), request("p2", { b })) == ResultCode::InvalidConfiguration);
    b.claims = a.claims;
    CHECK(publish({}, request("p1", { a, b })).items.size() == 2);

    CHECK(refusal({}, request("p1", { service("a", 0, "a") })) == ResultCode::InvalidConfiguration);
    CHECK(refusal({}, request("p1", { service("a", 1, "abcd") }), { .maxBytes = 3 }) == ResultCode::InvalidConfiguration);
}

TEST_CASE("a lost answer is settled by the publish id, also below later publishes")
{
    const auto first = publish({}, request("p1", { service("a", 1, "a") }));
    CHECK(settlePublish({}, "p1", 0) == PublishSettlement::Pending);
    CHECK(settlePublish(first, "p1", 0) == PublishSettlement::TookEffect);
    CHECK(settlePublish(publish(first, request("p2", { service("b", 1, "b") })), "p1", 0) == PublishSettlement::TookEffect);
    CHECK(settlePublish(first, "p9", 0) == PublishSettlement::NeverTookEffect);

    ConfigurationImage later = first;
    LastReason reason;
    for (uint64_t i = 2; i < 9; ++i) {
        later = planPublish(later, request("q" + std::to_string(i), { service("b", i, "b") }), { .historyLength = 3 }, reason)->next;
    }
    CHECK(later.history.size() == 3);
    CHECK(settlePublish(later, "p1", 0) == PublishSettlement::Unknown);
    CHECK_FALSE(describeConflict(later, 1, request("p9", { service("z", 1, "z") })).mayReplan());
}

TEST_CASE("a conflict names who was first and what differs")
{
    const auto first = publish({}, request("p1", { service("a", 1, "a"), service("b", 1, "b") }));
    const auto second = publish(first, request("p2", { service("a", 2, "theirs") }));
    const auto conflict = describeConflict(second, 1, request("p3", { service("a", 2, "ours") }));
    REQUIRE(conflict.beatenBy.size() == 1);
    CHECK(conflict.beatenBy[0].publisher == "operator p2");
    CHECK(conflict.overlap == std::vector<ItemConflict> { { { ItemKind::Service, "a" }, 2, 2, false } });
    CHECK_FALSE(conflict.mayReplan());
    CHECK(describeConflict(second, 1, request("p3", { service("b", 2, "ours") })).mayReplan());
}

} // namespace siskinspread
