// Prints docs/SETTINGS.md from the rules in the schema; scripts/results calls it.

#include "siskinspread/SettingsReference.h"

#include <iostream>

namespace {

constexpr const char* heading = R"(# Settings and service files

Made by `scripts/results` from the rules in `schema/settings.proto` and `schema/service.proto`, whose comments say what
each key is for; CI checks that it is current. An unknown key, a value of the wrong type, a number outside its range or
values that contradict each other are refused with file, line, key and what is allowed. `a[].b` is the key `b` of each
entry `[[a]]`. Files are at most one megabyte long.

## Settings of a daemon

)";

constexpr const char* settingsContradictions = R"(
Refused as contradictory: `listen.caller_port` and `listen.peer_port` alike; a peer with the name, the TCP endpoint or
the UDP endpoint of this host or of another peer; `drain.grace_ms` below `platform.timeout_ms`, since the records of
the last requests take at least one call to the platform.

## Service files

)";

constexpr const char* serviceContradictions = R"(
`engine_loads` may be absent as a whole. Its `model` is the service's name when absent.

Refused as contradictory in one file: `progress_timeout_ms` below `first_token_target_ms`, or not above
`between_tokens_target_ms`; both weights zero; `instruction_tokens` above 0 where `kind` is "plain"; a call, a customer's
limit, or the name or address of a backend server that stands twice in a service; `engine_loads` in a plain service, or
with an adapter that stands twice; an empty list of customers; a file without services and customers.

Refused as contradictory between files: two descriptions of one service, of one customer or of one key; a limit for a
customer that no file describes; two services in one pool that differ in `kind`, `checks_fencing_numbers`
or `engine_loads.role`, of which one has `engine_loads` and one has not, or that want two versions of one model or adapter; one name
of a backend server with two addresses; one address in two pools, or with two names, failure domains or prices.
)";

constexpr const char* platformSettings = R"(
## Processes on the users' platform

Their settings come from the platform; see [OPERATIONS.md](OPERATIONS.md). Two optional keys bound what callers may make a process hold
([design](design/untrusted-clients.md)):

| key | rule | default |
| --- | --- | --- |
| `limits.large_body_mb` | a number; 0 for the default | a quarter of `limits.memory_mb` |
| `limits.max_callers` | a number; 0 for the default | half of `limits.max_fds` less 200, at least 64 |
)";

} // namespace

int main()
{
    std::cout << heading << siskinspread::settingsReference() << settingsContradictions
              << siskinspread::serviceFileReference() << serviceContradictions << platformSettings;
}
