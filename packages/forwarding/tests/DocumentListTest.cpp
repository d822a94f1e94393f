#include "siskinspread/DocumentList.h"

#include <doctest/doctest.h>

using namespace siskinspread;

namespace {

StorePage page(const std::vector<std::string>& names, bool truncated, uint64_t asOf = 5)
{
    StorePage made { .truncated = truncated, .asOf = asOf };
    for (const auto& name : names) {
        made.documents.push_back({ .name = name });
    }
    return made;
}

} // namespace

TEST_CASE("pages of a list join up, and the first one tells its revision")
{
    DocumentList list;
    CHECK(addPage(list, page({ "a", "b" }, true, 5)) == ListProgress::NextPage);
    CHECK(addPage(list, page({ "c" }, false, 7)) == ListProgress::Complete);
    CHECK(list.documents.size() == 3);
    CHECK(list.asOf == 5);
}

TEST_CASE("a page that brings nothing new does not lead to a further one")
{
    DocumentList list;
    SUBCASE("the first page once more")
    {
        CHECK(addPage(list, page({ "a", "b" }, true)) == ListProgress::NextPage);
        CHECK(addPage(list, page({ "a", "b" }, true)) == ListProgress::NotAdvancing);
    }
    SUBCASE("no document can be read") { CHECK(addPage(list, page({}, true)) == ListProgress::NotAdvancing); }
    SUBCASE("pages that overlap go on")
    {
        CHECK(addPage(list, page({ "a", "b" }, true)) == ListProgress::NextPage);
        CHECK(addPage(list, page({ "b", "c" }, true)) == ListProgress::NextPage);
        CHECK(addPage(list, page({ "b", "c" }, true)) == ListProgress::NotAdvancing);
    }
}
