#include "siskinspread/RoutingConfiguration.h"

#include <doctest/doctest.h>

using namespace siskinspread;

namespace {

RoutingTable table()
{
    RoutingConfiguration configuration;
    configuration.routes = { { .name = "short", .host = "h.example", .pathPrefix = "/a/" }, { .name = "long", .host = "H.example", .pathPrefix = "/a/b/" }, { .name = "other", .host = "o.example", .pathPrefix = "/a/b/c/" } };
    configuration.customers = { { .name = "c", .keys = { "k1", "k2" } } };
    configuration.services = { { .name = "s" } };
    return RoutingTable { std::move(configuration) };
}

} // namespace

TEST_CASE("the longest prefix of the host is chosen")
{
    const auto routes = table();
    CHECK(routes.findRoute("h.example", "/a/x")->name == "short");
    CHECK(routes.findRoute("h.example:8080", "/a/b/x")->name == "long");
    CHECK(routes.findRoute("H.EXAMPLE", "/a/b/c/x")->name == "long");
    CHECK(routes.findRoute("h.example", "/a") == nullptr);
    CHECK(routes.findRoute("x.example", "/a/") == nullptr);
    CHECK(routes.findCustomer("k2")->name == "c");
    CHECK(routes.findCustomer("k3") == nullptr);
    CHECK(routes.findService("s") != nullptr);
    CHECK(routes.findService("t") == nullptr);
}

TEST_CASE("services share a route's requests by their weights")
{
    const Route route { .services = { { "a", 90 }, { "b", 10 }, { "c", 0 } } };
    size_t b = 0;
    for (uint64_t draw = 0; draw < 1000; ++draw) {
        const auto service = chooseService(route, draw);
        CHECK(service != "c");
        b += service == "b" ? 1 : 0;
    }
    CHECK(b == 100);
    CHECK(chooseService({}, 1).empty());
}
