// Prints docs/RESULTS.md from the result table; scripts/results calls it.

#include "siskinspread/ResultCode.h"

#include <iostream>

namespace {

constexpr const char* heading = R"(# Result codes

Made by `scripts/results` from the result table in `packages/common`; CI checks that it is current. The numbers are
part of the public interface and are never reused. 1xx: the request itself; 2xx: admission and routing; 3xx:
idempotency keys and accounts; 4xx: backend servers and streams; 5xx: platform and configuration. The name is the
label of the counters in [OBSERVABILITY.md](OBSERVABILITY.md) and the field `result` of logs and responses. A response
whose code may be retried carries `Retry-After`. Whether the request ran is not fixed by the code: each response and
each account says `not_run`, `ran` or `may_have_run` beside it.

| number | name | HTTP status | may be retried | meaning |
| --- | --- | --- | --- | --- |
)";

void printRow(const siskinspread::ResultInfo& info)
{
    std::cout << "| " << static_cast<int>(info.code) << " | `" << info.name << "` | " << info.httpStatus << " | "
              << (info.retryable ? "yes" : "no") << " | " << info.text << " |\n";
}

} // namespace

int main()
{
    std::cout << heading;
    for (const siskinspread::ResultInfo& info : siskinspread::resultTable()) {
        printRow(info);
    }
}
