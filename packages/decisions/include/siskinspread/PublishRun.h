#pragma once

#include "siskinspread/PublishPlan.h"

#include <variant>

namespace siskinspread {

/** The configuration object was read; `objectVersion` is the platform's version of it, zero when absent. */
struct ConfigurationRead {
    ConfigurationImage image;
    uint64_t objectVersion { 0 };
};

/** The configuration object could not be read, or could not be decoded. */
struct ConfigurationReadFailed {
    LastReason reason;
};

/** The platform confirmed the write. */
struct ConfigurationWritten { };

/** The platform refused the write because the object has another version. */
struct ConfigurationWriteRefused { };

/** The write ended without an answer, so it may have taken effect or may do so later. */
struct ConfigurationWriteUnanswered { };

using PublishEvent = std::variant<ConfigurationRead, ConfigurationReadFailed, ConfigurationWritten, ConfigurationWriteRefused,
    ConfigurationWriteUnanswered>;

/** Read the configuration object, after a delay that grows with `attempt` (counted from zero). */
struct ReadConfiguration {
    uint32_t attempt { 0 };
};

/** Write the configuration object if its version is `ifObjectVersion` (zero: if absent). */
struct WriteConfiguration {
    ConfigurationImage image;
    uint64_t ifObjectVersion { 0 };
};

/** The publish is in the store, as `revision` or as part of it. */
struct Published {
    uint64_t revision { 0 };
    std::vector<ItemKey> changed; /**< Empty when everything was published before. */
};

/** Nothing was published. */
struct PublishRefused {
    LastReason reason;
    PublishConflict conflict; /**< With VersionConflict: who was first and what differs. */
};

/** The store did not answer; the publish may take effect yet and can be settled later by its publish id. */
struct PublishUnsettled {
    std::string publishId;
    uint64_t baseRevision { 0 };
};

using PublishAction = std::variant<ReadConfiguration, WriteConfiguration, Published, PublishRefused, PublishUnsettled>;

struct PublishRunOptions {
    PublishOptions plan;
    uint32_t maxAttempts { 8 }; /**< Reads in a row without progress, and plans in all. */
};

/** One publish, from the first read to its outcome. */
struct PublishRun {
    PublishRequest request;
    std::optional<ConfigurationRead> base; /**< What the plan was made on. */
    std::optional<PublishPlan> plan;
    bool writeUnanswered { false }; /**< Whether a write of this run may take effect unseen. */
    uint32_t failedAttempts { 0 };
    uint32_t plans { 0 };
    bool finished { false };
};

/**
 * Starts a publish. One read and one write when nothing interferes.
 * Thread safety: safe while no other thread uses `run`.
 */
void start(PublishRun& run, std::vector<PublishAction>& actions);

/**
 * Goes on after an event. Exactly one of Published, PublishRefused and PublishUnsettled ends a run; events after that
 * are ignored. Thread safety: safe while no other thread uses `run`.
 */
void step(PublishRun& run, const PublishRunOptions& options, const PublishEvent& event, std::vector<PublishAction>& actions);

} // namespace siskinspread
