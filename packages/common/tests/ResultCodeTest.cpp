#include "siskinspread/ResultCode.h"

#include <doctest/doctest.h>

#include <set>

namespace siskinspread {

TEST_CASE("result table is ordered by number and its names are unique")
{
    std::set<std::string_view> names;
    int previous = -1;
    for (const ResultInfo& info : resultTable()) {
        CHECK(static_cast<int>(info.code) > previous);
        previous = static_cast<int>(info.code);
        CHECK(names.insert(info.name).second);
        CHECK(&resultInfo(info.code) == &info);
    }
}

TEST_CASE("a number outside the enumeration has the row of InternalError")
{
    CHECK(resultInfo(static_cast<ResultCode>(9999)).code == ResultCode::InternalError);
}

} // namespace siskinspread
