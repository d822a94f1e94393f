#include "siskinspread/ChangeLog.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <optional>

using namespace siskinspread;
using std::chrono::milliseconds;

namespace {

struct Write {
    int name { 0 };
    bool removed { false };
    uint64_t revision { 0 };
};

using Collection = std::map<int, uint64_t>; // revision by name

void apply(Collection& collection, const Write& write)
{
    if (write.removed) {
        collection.erase(write.name);
    } else {
        collection[write.name] = write.revision;
    }
}

/** A store with its history, and a reader that sees it in answers of random size. */
struct Source {
    std::vector<Write> history; // revision = index + 1
    uint64_t readTo { 0 };
    ChangeLog<Write> log;

    void read(uint64_t to, MonotonicTime now, const ChangeLogOptions& options)
    {
        ChangeBatch<Write> batch { .from = readTo, .asOf = to, .at = now };
        batch.changes.assign(history.begin() + static_cast<std::ptrdiff_t>(readTo), history.begin() + static_cast<std::ptrdiff_t>(to));
        readTo = to;
        recordChanges(log, std::move(batch), options);
    }
};

} // namespace

TEST_CASE("a follower of several readers has what the store had, or notices a gap")
{
    CHECK(rc::check("followers", [] {
        const ChangeLogOptions options { .keptFor = milliseconds { 1000 }, .maxChanges = 6 };
        std::vector<Source> sources(2);
        Collection truth;
        std::vector<Collection> truths { truth };
        Collection followed;
        uint64_t known = 0;
        auto now = MonotonicTime { std::chrono::hours { 1 } };
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 100)));
        for (const auto& [action, value] : steps) {
            now += milliseconds { value * 4 };
            if (action < 2) {
                const Write write { .name = value % 5, .removed = value % 3 == 0, .revision = truths.size() };
                apply(truth, write);
                truths.push_back(truth);
                for (auto& source : sources) {
                    source.history.push_back(write);
                }
            } else if (action < 4) {
                auto& source = sources[static_cast<size_t>(action - 2)];
                const uint64_t newest = source.history.size();
                source.read(source.readTo + (newest - source.readTo) * static_cast<uint64_t>(value) / 99, now, options);
            } else {
                for (const auto& batch : sources[static_cast<size_t>(action - 4)].log.batches) {
                    const auto use = useOfBatch(known, batch.from, batch.asOf);
                    if (use == BatchUse::Gap) {
                        followed = truth; // asks the store
                        known = truths.size() - 1;
                    } else if (use == BatchUse::Apply) {
                        for (const auto& write : batch.changes) {
                            apply(followed, write);
                        }
                        known = batch.asOf;
                    }
                }
            }
            RC_ASSERT(followed == truths[known]);
        }
    }));
}

TEST_CASE("a log stays bounded in time and size, and begins anew after a gap")
{
    const ChangeLogOptions options;
    ChangeLog<int> log;
    auto now = MonotonicTime { std::chrono::hours { 1 } };
    for (uint64_t revision = 0; revision < 1000; ++revision) {
        now += milliseconds { 10 };
        recordChanges(log, { .from = revision, .asOf = revision + 1, .changes = std::vector<int>(revision % 3, 1), .at = now }, options);
        size_t changes = 0;
        for (const auto& batch : log.batches) {
            changes += batch.changes.size();
        }
        CHECK(changes <= options.maxChanges);
        CHECK(now - log.batches.front().at <= options.keptFor);
    }
    recordChanges(log, { .from = 5000, .asOf = 5001, .changes = { 1 }, .at = now }, options);
    REQUIRE(log.batches.size() == 1);
    CHECK(log.batches.front().from == 5000);
}

TEST_CASE("answers without changes do not lengthen the log")
{
    ChangeLog<int> log;
    auto now = MonotonicTime { std::chrono::hours { 1 } };
    for (uint64_t revision = 0; revision < 100; ++revision) {
        recordChanges(log, { .from = revision, .asOf = revision + 1, .at = now }, {});
    }
    CHECK(log.batches.size() == 1);
    CHECK(log.batches.front().from == 0);
    CHECK(log.batches.front().asOf == 100);
}
