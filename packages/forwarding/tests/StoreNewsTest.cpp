#include "siskinspread/StoreNews.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace siskinspread;

namespace {

/** What a reclaim of `entries` replicas looks like in the store. */
FeedBatch reclaim(size_t entries, size_t textBytes = 0)
{
    FeedBatch batch { .from = 100, .asOf = 100 + entries };
    for (size_t number = 0; number < entries; ++number) {
        nlohmann::json content { { "service", "mifi80a" }, { "address", "10.9." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":8200" }, { "zone", "mid-a" },
            { "slots", 12 }, { "state", "draining" }, { "seq", number * 7919 }, { "born", 1786354873000 + number * 131 }, { "spot", true }, { "version", "1.4." + std::to_string(number) } };
        if (textBytes > 0) {
            std::string text;
            for (uint64_t word = number + 1; text.size() < textBytes; word = word * 6364136223846793005ULL + 1442695040888963407ULL) {
                text += std::to_string(word);
            }
            content["text"] = text;
        }
        batch.changes.push_back({ .change = { .document = { .name = "i-" + std::to_string(number * 104729), .revision = 101 + number, .content = content } } });
    }
    return batch;
}

} // namespace

TEST_CASE("a batch is read as it was written, whatever its size")
{
    CHECK(rc::check("batches", [] {
        auto batch = reclaim(*rc::gen::inRange<size_t>(0, 40));
        for (auto& change : batch.changes) {
            change.change.removed = *rc::gen::arbitrary<bool>();
            change.recovering = *rc::gen::arbitrary<bool>();
        }
        LastReason reason;
        const auto read = decodeBatch(encodeBatch(batch), reason);
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->from == batch.from);
        RC_ASSERT(read->asOf == batch.asOf);
        RC_ASSERT(read->changes.size() == batch.changes.size());
        for (size_t index = 0; index < batch.changes.size(); ++index) {
            const auto& written = batch.changes[index];
            const auto& change = read->changes[index];
            RC_ASSERT(change.withContent);
            RC_ASSERT(change.recovering == written.recovering);
            RC_ASSERT(change.change.removed == written.change.removed);
            RC_ASSERT(change.change.document.name == written.change.document.name);
            RC_ASSERT(change.change.document.revision == written.change.document.revision);
            RC_ASSERT(change.change.removed || change.change.document.content == written.change.document.content);
        }
    }));
}

TEST_CASE("the reclaim of all replicas of two domains of the target fits into a datagram")
{
    // 51 of 100 of 670 replicas in 8 domains, two domains at once.
    const auto message = encodeBatch(reclaim(86));
    CHECK(message.ByteSizeLong() < 8U << 10U);
    CHECK(encodeBatch(reclaim(256)).ByteSizeLong() < 24U << 10U);
}

TEST_CASE("documents that are too large for a datagram are named, to be read from the store")
{
    const auto message = encodeBatch(reclaim(2, 200U << 10U));
    CHECK(message.ByteSizeLong() < 1024);
    LastReason reason;
    const auto batch = decodeBatch(message, reason);
    REQUIRE(batch);
    REQUIRE(batch->changes.size() == 2);
    CHECK_FALSE(batch->changes[0].withContent);
    CHECK(batch->changes[1].change.document.revision == 102);
}

TEST_CASE("compressed changes that are cut, changed or too large are passed over with a reason")
{
    const auto good = encodeBatch(reclaim(40));
    REQUIRE_FALSE(good.compressed_changes().empty());
    CHECK(rc::check("damaged", [&] {
        auto damaged = good;
        auto bytes = damaged.compressed_changes();
        bytes.resize(*rc::gen::inRange<size_t>(1, bytes.size()));
        if (*rc::gen::arbitrary<bool>()) {
            bytes[*rc::gen::inRange<size_t>(0, bytes.size())] ^= static_cast<char>(*rc::gen::inRange(1, 256));
        }
        damaged.set_compressed_changes(bytes);
        LastReason reason;
        RC_ASSERT(!decodeBatch(damaged, reason) || bytes.empty());
    }));
    auto huge = good;
    // A frame that names 4 GiB of content (RFC 8878, section 3.1.1).
    huge.set_compressed_changes(std::string { "\x28\xb5\x2f\xfd\xa0\xff\xff\xff\xff", 9 });
    LastReason reason;
    CHECK_FALSE(decodeBatch(huge, reason));
    CHECK(reason.detail == "the compressed changes name no size within bounds");
}

TEST_CASE("a batch that cannot be read keeps its place, with changes that have to be read from the store")
{
    const auto batch = unreadBatch(encodeBatch(reclaim(3)));
    CHECK(batch.from == 100);
    CHECK(batch.asOf == 103);
    REQUIRE(batch.changes.size() == 1);
    CHECK_FALSE(batch.changes.front().withContent);
}

// Guards against hosts that are told again and again that their watchers are current, but never what changed: a batch that is larger
// than a message is never sent, nor anything behind it.
TEST_CASE("a batch that no message can hold tells that something has changed")
{
    std::string name;
    for (uint64_t word = 1; name.size() < 100'000; word = word * 6364136223846793005ULL + 1442695040888963407ULL) {
        name += std::to_string(word);
    }
    auto batch = reclaim(2);
    batch.changes.push_back({ .change = { .document = { .name = name, .revision = 103, .content = 1 } } });
    const auto message = encodeBatch(batch);
    CHECK(message.ByteSizeLong() < 1024);
    LastReason reason;
    const auto read = decodeBatch(message, reason);
    REQUIRE(read);
    CHECK(read->from == batch.from);
    CHECK(read->asOf == batch.asOf);
    REQUIRE(read->changes.size() == 1);
    CHECK_FALSE(read->changes[0].withContent);
}
