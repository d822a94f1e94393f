#include "siskinspread/ReplicaDirectory.h"

#include <doctest/doctest.h>

using namespace siskinspread;
using std::chrono::milliseconds;

namespace {

ReplicaEntry entry(const std::string& instance, int64_t startedAt = 1)
{
    return { .instance = instance, .service = "s", .address = "127.0.0.1", .port = 1, .failureDomain = "one", .slots = 4, .startedAtMs = startedAt };
}

const MonotonicTime start { std::chrono::hours { 1 } };

} // namespace

TEST_CASE("a replica that has said that it leaves does not come back in the same incarnation")
{
    ReplicaDirectory directory;
    CHECK(directory.apply(entry("a")) == ReplicaDirectory::Change::Added);
    auto leaving = entry("a");
    leaving.leaving = true;
    CHECK(directory.apply(leaving) == ReplicaDirectory::Change::Leaving);
    CHECK(directory.apply(entry("a")) == ReplicaDirectory::Change::Updated);
    CHECK(directory.find("a")->entry.leaving);
}

TEST_CASE("an instance with another start is another incarnation, of which nothing is known")
{
    ReplicaDirectory directory;
    directory.apply(entry("a", 1));
    auto old = directory.find("a");
    old->ownLoad.requests = 3;
    CHECK(directory.apply(entry("a", 2)) == ReplicaDirectory::Change::Restarted);
    CHECK(old->gone);
    CHECK(directory.find("a")->ownLoad.requests == 0);
    CHECK(directory.find("a")->identity != old->identity);
    CHECK(directory.ofService("s").size() == 1);
    CHECK(directory.findIdentity(old->identity) == nullptr);
}

TEST_CASE("a replica that is known to leave before its entry is read is never in use")
{
    ReplicaDirectory directory;
    CHECK(directory.markLeaving(replicaIdentity(entry("a", 1))) == nullptr);
    directory.apply(entry("a", 1));
    CHECK(directory.find("a")->entry.leaving);
    directory.apply(entry("a", 2));
    CHECK_FALSE(directory.find("a")->entry.leaving);
}

TEST_CASE("a replica that left is still known to have left after its entry has gone, whoever told it")
{
    ReplicaDirectory directory;
    auto leaving = entry("by-entry");
    leaving.leaving = true;
    directory.apply(leaving);
    directory.apply(entry("by-answer"));
    CHECK(directory.markLeaving(directory.find("by-answer")->identity) != nullptr);
    CHECK(directory.markLeaving(directory.find("by-answer")->identity) == nullptr);
    for (const char* instance : { "by-entry", "by-answer" }) {
        directory.remove(instance);
        directory.apply(entry(instance));
        CHECK(directory.find(instance)->entry.leaving);
    }
}

TEST_CASE("only so many incarnations that left are remembered, the oldest are forgotten first")
{
    ReplicaDirectory directory;
    for (uint64_t identity = 1; identity <= 5000; ++identity) {
        directory.markLeaving(identity << 32U);
    }
    directory.markLeaving(replicaIdentity(entry("a")));
    directory.apply(entry("a"));
    CHECK(directory.find("a")->entry.leaving);
}

TEST_CASE("an entry that comes back in time is kept, one that does not is removed, a leaving one at once")
{
    ReplicaDirectory directory;
    directory.apply(entry("back"));
    directory.apply(entry("lost"));
    auto leaving = entry("leaving");
    leaving.leaving = true;
    directory.apply(leaving);
    CHECK(directory.markMissing("back", start));
    CHECK(directory.markMissing("lost", start));
    CHECK_FALSE(directory.markMissing("leaving", start));
    CHECK_FALSE(directory.markMissing("unknown", start));
    directory.apply(entry("back"));
    CHECK(directory.removeMissing(start + milliseconds { 1699 }, milliseconds { 1700 }).empty());
    CHECK(directory.removeMissing(start + milliseconds { 1700 }, milliseconds { 1700 }) == std::vector<std::string> { "lost" });
    CHECK(directory.all().size() == 1);
}

TEST_CASE("a replica that moves to another service is offered there alone")
{
    ReplicaDirectory directory;
    directory.apply(entry("a"));
    auto moved = entry("a");
    moved.service = "t";
    directory.apply(moved);
    CHECK(directory.ofService("s").empty());
    CHECK(directory.ofService("t").size() == 1);
}

TEST_CASE("prompt parts count as resident from the first on, and not for ever")
{
    Replica replica;
    const std::vector<PromptPart> prompt { { 1, 100 }, { 2, 50 }, { 3, 70 } };
    noteResident(replica, prompt, start);
    CHECK(residentTokens(replica, prompt, start) == 150);
    const std::vector<PromptPart> other { { 9, 10 }, { 2, 50 }, { 3, 70 } };
    CHECK(residentTokens(replica, other, start) == 0);
    CHECK(residentTokens(replica, prompt, start + std::chrono::minutes { 5 }) == 0);
}
