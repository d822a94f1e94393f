#include "siskinspread/PublishRun.h"
#include "Script.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace siskinspread {

namespace {

    /** The configuration object of the platform, with writes that take effect late or unseen. */
    struct Store {
        ConfigurationRead object;
        std::vector<ConfigurationImage> accepted;
        std::vector<WriteConfiguration> delayed;

        bool apply(const WriteConfiguration& write)
        {
            if (write.ifObjectVersion != object.objectVersion) {
                return false;
            }
            object = { .image = write.image, .objectVersion = object.objectVersion + 1 };
            accepted.push_back(write.image);
            return true;
        }
    };

    struct Publisher {
        PublishRun run;
        std::vector<PublishAction> pending;
        std::optional<PublishAction> outcome;
    };

    enum class Fault { None,
        NoEffect,
        EffectUnseen,
        LateEffect };

    PublishEvent perform(Store& store, const PublishAction& action, Fault fault)
    {
        const auto* write = std::get_if<WriteConfiguration>(&action);
        if (!write) {
            return fault == Fault::None ? PublishEvent { store.object } : ConfigurationReadFailed {};
        }
        if (fault == Fault::None) {
            return store.apply(*write) ? PublishEvent { ConfigurationWritten {} } : ConfigurationWriteRefused {};
        }
        if (fault == Fault::EffectUnseen) {
            store.apply(*write);
        } else if (fault == Fault::LateEffect) {
            store.delayed.push_back(*write);
        }
        return ConfigurationWriteUnanswered {};
    }

    void advance(Store& store, Publisher& publisher, Fault fault)
    {
        const PublishAction action = publisher.pending.front();
        publisher.pending.clear();
        step(publisher.run, {}, perform(store, action, fault), publisher.pending);
        RC_ASSERT(publisher.pending.size() == 1U);
        if (publisher.run.finished) {
            publisher.outcome = publisher.pending.front();
        }
    }

    void applyOneDelayed(Store& store)
    {
        if (!store.delayed.empty()) {
            const WriteConfiguration write = store.delayed.front();
            store.delayed.erase(store.delayed.begin());
            store.apply(write);
        }
    }

    std::vector<Publisher> makePublishers()
    {
        const size_t count = *rc::gen::inRange<size_t>(2, 5);
        std::vector<Publisher> publishers(count);
        for (size_t i = 0; i < count; ++i) {
            std::vector<ConfigurationItem> items;
            const int mask = *rc::gen::inRange(1, 8);
            for (int s = 0; s < 3; ++s) {
                if (mask & (1 << s)) {
                    items.push_back({ .key = { ItemKind::Service, std::string(1, static_cast<char>('a' + s)) },
                        .fileRevision = *rc::gen::inRange<uint64_t>(1, 4),
                        .canonicalText = "text " + std::to_string(i),
                        .requiredCustomers = {},
                        .claims = {} });
                }
            }
            publishers[i].run.request = { .publishId = std::to_string(i), .publisher = "o", .files = { { .path = "f", .items = items } } };
            start(publishers[i].run, publishers[i].pending);
        }
        return publishers;
    }

    bool holds(const ConfigurationImage& image, const ConfigurationItem& item)
    {
        return std::any_of(image.items.begin(), image.items.end(), [&](const ConfigurationItem& other) {
            return other.key == item.key && (other.fileRevision > item.fileRevision || other == item);
        });
    }

    bool wasAccepted(const Store& store, const std::string& publishId)
    {
        return std::any_of(store.accepted.begin(), store.accepted.end(),
            [&](const ConfigurationImage& image) { return image.history.back().publishId == publishId; });
    }

    void checkOutcome(const Store& store, const Publisher& publisher)
    {
        const std::string& id = publisher.run.request.publishId;
        if (std::holds_alternative<PublishRefused>(*publisher.outcome)) {
            RC_ASSERT_FALSE(wasAccepted(store, id));
        }
        if (const auto* published = std::get_if<Published>(&*publisher.outcome)) {
            RC_ASSERT(published->changed.empty() || store.accepted.at(published->revision - 1).history.back().publishId == id);
            for (const ConfigurationItem& item : publisher.run.request.files[0].items) {
                RC_ASSERT(holds(store.object.image, item));
            }
        }
    }

} // namespace

TEST_CASE("racing publishers: one wins each revision, and nothing reported as published is lost")
{
    CHECK(rc::check([] {
        Store store;
        std::vector<Publisher> publishers = makePublishers();
        for (const uint16_t choice : arbitraryScript<uint16_t>(60)) {
            const unsigned what = (choice >> 8) % 6;
            Publisher& publisher = publishers[choice % publishers.size()];
            if (!publisher.outcome) {
                advance(store, publisher, what < 4 ? static_cast<Fault>(what) : Fault::None);
            }
            if (choice & 1U << 14U) {
                applyOneDelayed(store);
            }
        }
        for (Publisher& publisher : publishers) {
            while (!publisher.outcome) {
                advance(store, publisher, Fault::None);
            }
        }
        while (!store.delayed.empty()) {
            applyOneDelayed(store);
        }
        for (size_t i = 0; i < store.accepted.size(); ++i) {
            RC_ASSERT(store.accepted[i].revision == i + 1);
        }
        for (const Publisher& publisher : publishers) {
            checkOutcome(store, publisher);
        }
    }));
}

TEST_CASE("the loser of a race is told who was first, or goes on when the items differ")
{
    for (const char* name : { "a", "b" }) {
        Store store;
        std::vector<Publisher> publishers(2);
        for (size_t i = 0; i < 2; ++i) {
            const std::string service = i ? name : "a";
            const ConfigurationItem item { .key = { ItemKind::Service, service }, .fileRevision = i + 1, .canonicalText = "t", .requiredCustomers = {}, .claims = {} };
            publishers[i].run.request = { .publishId = std::to_string(i), .publisher = "operator", .files = { { .path = "f", .items = { item } } } };
            start(publishers[i].run, publishers[i].pending);
            advance(store, publishers[i], Fault::None);
        }
        for (Publisher& publisher : publishers) {
            while (!publisher.outcome) {
                advance(store, publisher, Fault::None);
            }
        }
        const auto* refused = std::get_if<PublishRefused>(&*publishers[1].outcome);
        CHECK((refused != nullptr) == (std::string { name } == "a"));
        CHECK((!refused || refused->conflict.beatenBy.at(0).publishId == "0"));
    }
}

TEST_CASE("an outage during the publish leaves it unsettled, and before the write leaves nothing")
{
    const ConfigurationItem item { .key = { ItemKind::Service, "a" }, .fileRevision = 1, .canonicalText = "t", .requiredCustomers = {}, .claims = {} };
    for (const bool writeSent : { false, true }) {
        Publisher publisher;
        publisher.run.request = { .publishId = "p", .publisher = "o", .files = { { .path = "f", .items = { item } } } };
        start(publisher.run, publisher.pending);
        if (writeSent) {
            step(publisher.run, {}, ConfigurationRead {}, publisher.pending);
            step(publisher.run, {}, ConfigurationWriteUnanswered {}, publisher.pending);
        }
        for (int i = 0; i < 20 && !publisher.run.finished; ++i) {
            step(publisher.run, {}, ConfigurationReadFailed {}, publisher.pending);
        }
        REQUIRE(publisher.run.finished);
        CHECK(std::holds_alternative<PublishUnsettled>(publisher.pending.back()) == writeSent);
        CHECK(publisher.run.failedAttempts == PublishRunOptions {}.maxAttempts);
    }
}

} // namespace siskinspread
