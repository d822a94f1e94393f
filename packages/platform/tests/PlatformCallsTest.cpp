#include "siskinspread/CloudHost.h"
#include "siskinspread/ObjectApi.h"

#include <doctest/doctest.h>

using namespace siskinspread;

namespace {

constexpr std::string_view oddName { "a b&c+d#e%f?g" };
const std::string encodedName { "a%20b%26c%2Bd%23e%25f%3Fg" };

} // namespace

TEST_CASE("a host is asked for by its whole name")
{
    CHECK(readCloudHost({ .url = "http://10.0.0.1:80" }, std::string { oddName }).url == "http://10.0.0.1:80/hosts/" + encodedName);
    CHECK(readCloudHost({ .url = "http://10.0.0.1:80" }, "a/b").url == "http://10.0.0.1:80/hosts/a%2Fb");
    CHECK(readCloudHost({ .url = "http://10.0.0.1:80" }, "front-1.a").url == "http://10.0.0.1:80/hosts/front-1.a");
}

TEST_CASE("an object is addressed by its whole name, whose slashes stay")
{
    const ObjectApiOptions store { .url = "http://10.0.0.1:80" };
    const auto name = "logs/" + std::string { oddName } + "/00000001";
    const auto url = "http://10.0.0.1:80/objects/logs/" + encodedName + "/00000001";
    CHECK(readObject(store, name).url == url);
    CHECK(createObject(store, name, "v").url == url);
    CHECK(replaceObject(store, name, 3, "v").url == url);
    CHECK(watchObject(store, name, 3).url.starts_with(url + "?watch_after=3&"));
    CHECK(listObjects(store, "logs/a&b", oddName).url == "http://10.0.0.1:80/list?prefix=logs%2Fa%26b&after=" + encodedName);
}
