#pragma once

#include "siskinspread/LastReason.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace siskinspread {

/** What an item of the configuration describes. */
enum class ItemKind : uint8_t {
    Service,
    Customer,
};

/** Identifies an item of the configuration. */
struct ItemKey {
    ItemKind kind { ItemKind::Service };
    std::string name;
    bool operator==(const ItemKey&) const = default;
    bool operator<(const ItemKey& other) const { return std::tie(kind, name) < std::tie(other.kind, other.name); }
};

/** A resource that one holder alone may use, for example backend server "a1" by pool "drafting". */
struct ExclusiveClaim {
    std::string resource;
    std::string holder;
    bool operator==(const ExclusiveClaim&) const = default;
};

/** A service or a customer, as far as publishing has to know it. */
struct ConfigurationItem {
    ItemKey key;
    uint64_t fileRevision { 0 }; /**< Grows with each edit of the service file; above zero. */
    std::string canonicalText; /**< Equal texts mean equal items. */
    std::vector<std::string> requiredCustomers; /**< Customers that the configuration must define. */
    std::vector<ExclusiveClaim> claims;
    bool operator==(const ConfigurationItem&) const = default;
};

/** Who published a revision, and what changed in it. */
struct PublishStamp {
    uint64_t revision { 0 };
    std::string publishId; /**< Drawn for each publish; identifies it when the answer to its write is lost. */
    std::string publisher;
    std::vector<ItemKey> changed;
    bool operator==(const PublishStamp&) const = default;
};

/** The configuration object. An absent object is an image of revision zero. */
struct ConfigurationImage {
    uint64_t revision { 0 };
    std::vector<ConfigurationItem> items; /**< Ordered by key, each key once. */
    std::vector<PublishStamp> history; /**< The latest publishes, oldest first; the last is that of `revision`. */
    bool operator==(const ConfigurationImage&) const = default;
};

/** The content of one service file that passed its own checks. */
struct ServiceFileContent {
    std::string path;
    std::vector<ConfigurationItem> items;
};

/** What an operator asks to publish. */
struct PublishRequest {
    std::string publishId;
    std::string publisher;
    std::vector<ServiceFileContent> files;
};

struct PublishOptions {
    size_t historyLength { 64 }; /**< Publishes kept in the object. */
    size_t maxBytes { 900'000 }; /**< Limit for all canonical texts; the platform holds values up to a megabyte. */
};

/** The next configuration. */
struct PublishPlan {
    ConfigurationImage next;
    std::vector<ItemKey> changed; /**< Empty when everything given is published already; then nothing is to be written. */
};

/**
 * Replaces the items given and keeps all others.
 *
 * @param published the configuration in the store.
 * @param reason InvalidConfiguration for contradictions within the files or within the result; StaleRevision for an item
 * whose file revision is below the published one, or equal to it with other content.
 * Thread safety: reentrant.
 */
std::optional<PublishPlan> planPublish(const ConfigurationImage& published, const PublishRequest& request,
    const PublishOptions& options, LastReason& reason);

/** Whether a write whose answer was lost took effect. */
enum class PublishSettlement : uint8_t {
    TookEffect,
    Pending, /**< The object is unchanged; the write may still arrive, so only the same conditional write may follow. */
    NeverTookEffect, /**< Another publish took its place, and the condition of the write cannot hold any more. */
    Unknown, /**< More publishes followed than the object remembers. */
};

/**
 * Settles a lost answer from the object as it is now.
 *
 * @param current the configuration as read after the write was sent.
 * @param baseRevision the revision on which the write was conditional.
 * Thread safety: reentrant.
 */
PublishSettlement settlePublish(const ConfigurationImage& current, const std::string& publishId, uint64_t baseRevision);

/** An item that a competing publish changed as well. */
struct ItemConflict {
    ItemKey key;
    uint64_t requestedFileRevision { 0 };
    uint64_t publishedFileRevision { 0 }; /**< Zero when the item is not published. */
    bool sameText { false };
    bool operator==(const ItemConflict&) const = default;
};

/** What was published since a request was planned. */
struct PublishConflict {
    std::vector<PublishStamp> beatenBy; /**< Oldest first. */
    bool historyComplete { true }; /**< False when the object does not remember every publish since. */
    std::vector<ItemConflict> overlap; /**< Empty when the publishes touch different items. */
    bool operator==(const PublishConflict&) const = default;

    /**
     * Publishes of different items commute, since each replaces only its own and all cross checks run again on the
     * result. An overlap goes back to the operator, who alone can say which content is meant.
     * @return whether the request may be planned again on the current configuration. Thread safety: const.
     */
    bool mayReplan() const { return historyComplete && overlap.empty(); }
};

/**
 * @param baseRevision the revision on which the request was planned.
 * @return what came between. Thread safety: reentrant.
 */
PublishConflict describeConflict(const ConfigurationImage& current, uint64_t baseRevision, const PublishRequest& request);

} // namespace siskinspread
