#include "siskinspread/Target.h"

#include <doctest/doctest.h>

namespace siskinspread {

TEST_CASE("a path that has another spelling is not canonical")
{
    for (const std::string_view path : { "/", "/holds", "/holds/", "/stock/dolly-2", "/a%20b", "/v1.2/~x", "/%C3%A9" }) {
        CHECK_MESSAGE(isCanonicalPath(path), path);
    }
    for (const std::string_view path : { "", "holds", "//holds", "/./holds", "/x/../holds", "/holds/..", "/%68olds", "/x%2Fholds", "/x%2f..", "/x%5Choldz", "/x\\holds", "/holds%", "/holds%4", "/hol%zzds" }) {
        CHECK_FALSE_MESSAGE(isCanonicalPath(path), path);
    }
}

TEST_CASE("a query parameter is found by its whole name and its escapes are resolved")
{
    const Target target = splitTarget("/accounts?monkey=a&key=b%20c&key=d");
    CHECK(target.path == "/accounts");
    CHECK(queryParameter(target.query, "key") == "b c");
    CHECK_FALSE(queryParameter(target.query, "on"));
    CHECK_FALSE(queryParameter("key=a%2", "key"));
}

} // namespace siskinspread
