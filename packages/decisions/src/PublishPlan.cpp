#include "siskinspread/PublishPlan.h"

#include <algorithm>
#include <map>
#include <set>

namespace siskinspread {

namespace {

    using ItemMap = std::map<ItemKey, ConfigurationItem>;

    std::string describe(const ItemKey& key)
    {
        return (key.kind == ItemKind::Service ? "service " : "customer ") + key.name;
    }

    std::optional<ItemMap> collectItems(const PublishRequest& request, LastReason& reason)
    {
        ItemMap given;
        std::map<ItemKey, std::string> paths;
        for (const ServiceFileContent& file : request.files) {
            for (const ConfigurationItem& item : file.items) {
                const auto [claim, isNew] = paths.emplace(item.key, file.path);
                if (!isNew) {
                    return fail(reason, ResultCode::InvalidConfiguration,
                        describe(item.key) + " is defined by both " + claim->second + " and " + file.path);
                }
                if (!item.fileRevision) {
                    return fail(reason, ResultCode::InvalidConfiguration, describe(item.key) + " in " + file.path + " has no file revision");
                }
                given.emplace(item.key, item);
            }
        }
        return given;
    }

    bool isFresh(const ConfigurationItem& given, const ConfigurationItem& published, LastReason& reason)
    {
        if (given.fileRevision > published.fileRevision || given == published) {
            return true;
        }
        const bool older = given.fileRevision < published.fileRevision;
        const std::string numbers = std::to_string(given.fileRevision) + ", published is " + std::to_string(published.fileRevision);
        fail(reason, ResultCode::StaleRevision,
            describe(given.key) + ": the file has revision " + numbers
                + (older ? "; the checkout is stale" : " with other content; raise file_revision"));
        return false;
    }

    bool checkReferences(const ItemMap& items, LastReason& reason)
    {
        for (const auto& [key, item] : items) {
            for (const std::string& customer : item.requiredCustomers) {
                if (!items.contains({ ItemKind::Customer, customer })) {
                    fail(reason, ResultCode::InvalidConfiguration, describe(key) + " names the unknown customer " + customer);
                    return false;
                }
            }
        }
        return true;
    }

    bool checkClaims(const ItemMap& items, LastReason& reason)
    {
        std::map<std::string, const ExclusiveClaim*> holders;
        for (const auto& [key, item] : items) {
            for (const ExclusiveClaim& claim : item.claims) {
                const auto [entry, isNew] = holders.emplace(claim.resource, &claim);
                if (!isNew && entry->second->holder != claim.holder) {
                    fail(reason, ResultCode::InvalidConfiguration,
                        claim.resource + " is used by both " + entry->second->holder + " and " + claim.holder);
                    return false;
                }
            }
        }
        return true;
    }

    bool checkSize(const ItemMap& items, const PublishOptions& options, LastReason& reason)
    {
        size_t bytes = 0;
        for (const auto& [key, item] : items) {
            bytes += item.canonicalText.size();
        }
        if (bytes <= options.maxBytes) {
            return true;
        }
        fail(reason, ResultCode::InvalidConfiguration,
            "the configuration has " + std::to_string(bytes) + " bytes; the limit is " + std::to_string(options.maxBytes));
        return false;
    }

    std::optional<std::vector<ItemKey>> replaceItems(ItemMap& items, const ItemMap& given, LastReason& reason)
    {
        std::vector<ItemKey> changed;
        for (const auto& [key, item] : given) {
            const auto published = items.find(key);
            if (published == items.end()) {
                changed.push_back(key);
                continue;
            }
            if (!isFresh(item, published->second, reason)) {
                return std::nullopt;
            }
            if (item != published->second) {
                changed.push_back(key);
            }
        }
        for (const ItemKey& key : changed) {
            items.insert_or_assign(key, given.at(key));
        }
        return changed;
    }

    ConfigurationImage makeNext(const ConfigurationImage& published, const ItemMap& items, const PublishRequest& request,
        const std::vector<ItemKey>& changed, const PublishOptions& options)
    {
        ConfigurationImage next { .revision = published.revision + 1, .items = {}, .history = published.history };
        for (const auto& [key, item] : items) {
            next.items.push_back(item);
        }
        next.history.push_back({ .revision = next.revision, .publishId = request.publishId, .publisher = request.publisher, .changed = changed });
        if (next.history.size() > options.historyLength) {
            next.history.erase(next.history.begin(), next.history.end() - static_cast<std::ptrdiff_t>(options.historyLength));
        }
        return next;
    }

    bool remembersSince(const ConfigurationImage& image, uint64_t baseRevision)
    {
        return image.revision <= baseRevision || (!image.history.empty() && image.history.front().revision <= baseRevision + 1);
    }

} // namespace

std::optional<PublishPlan> planPublish(const ConfigurationImage& published, const PublishRequest& request,
    const PublishOptions& options, LastReason& reason)
{
    const auto given = collectItems(request, reason);
    if (!given) {
        return std::nullopt;
    }
    ItemMap items;
    for (const ConfigurationItem& item : published.items) {
        items.emplace(item.key, item);
    }
    const auto changed = replaceItems(items, *given, reason);
    if (!changed) {
        return std::nullopt;
    }
    if (!checkReferences(items, reason) || !checkClaims(items, reason) || !checkSize(items, options, reason)) {
        return std::nullopt;
    }
    if (changed->empty()) {
        return PublishPlan { .next = published, .changed = {} };
    }
    return PublishPlan { .next = makeNext(published, items, request, *changed, options), .changed = *changed };
}

PublishSettlement settlePublish(const ConfigurationImage& current, const std::string& publishId, uint64_t baseRevision)
{
    const bool found = std::any_of(current.history.begin(), current.history.end(),
        [&](const PublishStamp& stamp) { return stamp.publishId == publishId; });
    if (found) {
        return PublishSettlement::TookEffect;
    }
    if (current.revision <= baseRevision) {
        return PublishSettlement::Pending;
    }
    return remembersSince(current, baseRevision) ? PublishSettlement::NeverTookEffect : PublishSettlement::Unknown;
}

PublishConflict describeConflict(const ConfigurationImage& current, uint64_t baseRevision, const PublishRequest& request)
{
    PublishConflict conflict { .beatenBy = {}, .historyComplete = remembersSince(current, baseRevision), .overlap = {} };
    std::set<ItemKey> changed;
    for (const PublishStamp& stamp : current.history) {
        if (stamp.revision > baseRevision) {
            conflict.beatenBy.push_back(stamp);
            changed.insert(stamp.changed.begin(), stamp.changed.end());
        }
    }
    for (const ServiceFileContent& file : request.files) {
        for (const ConfigurationItem& item : file.items) {
            if (!changed.contains(item.key)) {
                continue;
            }
            const auto published = std::find_if(current.items.begin(), current.items.end(),
                [&](const ConfigurationItem& other) { return other.key == item.key; });
            const bool exists = published != current.items.end();
            conflict.overlap.push_back({ .key = item.key,
                .requestedFileRevision = item.fileRevision,
                .publishedFileRevision = exists ? published->fileRevision : 0,
                .sameText = exists && published->canonicalText == item.canonicalText });
        }
    }
    return conflict;
}

} // namespace siskinspread
