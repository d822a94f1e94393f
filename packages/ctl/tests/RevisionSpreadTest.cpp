#include "siskinspread/OperatorReports.h"

#include <doctest/doctest.h>

namespace siskinspread {

TEST_CASE("the spread counts each live incarnation once, with what it told last to anyone")
{
    const SystemStatus first { .entryHosts = {
                                   { .name = "a", .incarnation = "a.1", .state = "live", .configurationRevision = 3 },
                                   { .name = "b", .incarnation = "b.1", .state = "dead", .configurationRevision = 2 },
                                   { .name = "b", .incarnation = "b.2", .state = "live", .configurationRevision = 2 },
                                   { .name = "c", .incarnation = "c.1", .state = "left", .configurationRevision = 1 },
                               } };
    const SystemStatus second { .entryHosts = {
                                    { .name = "a", .incarnation = "a.1", .state = "suspected", .configurationRevision = 2 },
                                    { .name = "b", .incarnation = "b.2", .state = "live", .configurationRevision = 4 },
                                    { .name = "d", .incarnation = "d.1", .state = "suspected", .configurationRevision = 2 },
                                } };
    const RevisionSpread spread = revisionSpread({ first, second }, 3);
    CHECK(spread.liveHosts == 3);
    CHECK(spread.inForce == 2);
    CHECK(revisionSpread({}, 3).liveHosts == 0);
}

} // namespace siskinspread
