#include "Publisher.h"

#include "PublishImage.h"
#include "siskinspread/ConfigurationCodec.h"

namespace siskinspread {

namespace {

    struct StoredConfiguration {
        ConfigurationImage image;
        uint64_t version { 0 }; /**< Of the object; 0 when it is absent. */
    };

    std::optional<StoredConfiguration> readConfiguration(const PerformStoreCall& perform, const PublisherOptions& options, LastReason& reason)
    {
        const TransferEnded ended = perform(readObject(options.store, configurationObject));
        switch (storeResult(ended, false)) {
        case StoreResult::Absent:
            return StoredConfiguration {};
        case StoreResult::Done:
            break;
        default:
            return fail(reason, ResultCode::StoreUnavailable, "the configuration could not be read: " + ended.detail);
        }
        const auto configuration = decodeConfiguration(ended.body, reason);
        if (!configuration) {
            return std::nullopt;
        }
        return StoredConfiguration { .image = imageOf(*configuration), .version = storedVersion(ended) };
    }

    StoreResult writeConfiguration(const PerformStoreCall& perform, const PublisherOptions& options, const StoredConfiguration& base, const ConfigurationImage& next)
    {
        std::string text = encodeConfiguration(configurationOf(next));
        const StartTransfer call = base.version ? replaceObject(options.store, configurationObject, base.version, std::move(text))
                                                : createObject(options.store, configurationObject, std::move(text));
        return storeResult(perform(call), true);
    }

    std::string describe(const PublishConflict& conflict)
    {
        std::string text = "another publish came first:";
        for (const PublishStamp& stamp : conflict.beatenBy) {
            text += " revision " + std::to_string(stamp.revision) + " by " + stamp.publisher;
        }
        for (const ItemConflict& item : conflict.overlap) {
            text += "; " + describeItem(item.key) + " has file revision " + std::to_string(item.publishedFileRevision) + ", yours is " + std::to_string(item.requestedFileRevision) + (item.sameText ? " (same content)" : " (content differs)");
        }
        return text;
    }

    PublishReport reportOf(const PublishPlan& plan, const PublishRequest& request, bool settledByReadBack)
    {
        PublishReport report { .revision = plan.next.revision, .publishId = request.publishId, .settledByReadBack = settledByReadBack };
        for (const ItemKey& key : plan.changed) {
            report.changedServices.push_back(describeItem(key));
        }
        return report;
    }

} // namespace

std::optional<PublishReport> publishConfiguration(const PerformStoreCall& perform, const PublisherOptions& options, const PublishRequest& request, LastReason& reason)
{
    auto base = readConfiguration(perform, options, reason);
    if (!base) {
        return std::nullopt;
    }
    auto plan = planPublish(base->image, request, options.plan, reason);
    bool mayBeWritten = false;
    for (uint32_t attempt = 0; plan && attempt < options.maxAttempts; ++attempt) {
        if (plan->changed.empty()) {
            return reportOf(*plan, request, false);
        }
        const StoreResult result = writeConfiguration(perform, options, *base, plan->next);
        if (result == StoreResult::Done) {
            return reportOf(*plan, request, false);
        }
        mayBeWritten |= result == StoreResult::Unknown;
        const auto current = readConfiguration(perform, options, reason);
        if (!current) {
            continue; // the same conditional write may be repeated: it takes effect once at most
        }
        const PublishSettlement settlement = settlePublish(current->image, request.publishId, base->image.revision);
        if (settlement == PublishSettlement::TookEffect) {
            return reportOf(*plan, request, true);
        }
        if (settlement == PublishSettlement::Pending) {
            continue;
        }
        if (settlement == PublishSettlement::Unknown) {
            return fail(reason, ResultCode::VersionConflict, "too many publishes followed to tell whether this one took effect; compare the configuration in force");
        }
        const PublishConflict conflict = describeConflict(current->image, base->image.revision, request);
        if (!conflict.mayReplan()) {
            return fail(reason, ResultCode::VersionConflict, describe(conflict));
        }
        base = current;
        mayBeWritten = false;
        plan = planPublish(base->image, request, options.plan, reason);
    }
    if (plan) {
        return fail(reason, ResultCode::StoreUnavailable, mayBeWritten ? "the object API did not answer; the update may take effect" : "the object API did not answer; nothing was published");
    }
    return std::nullopt;
}

} // namespace siskinspread
