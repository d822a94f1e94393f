#include "siskinspread/PublishRun.h"

namespace siskinspread {

namespace {

    struct Stepper {
        PublishRun& run;
        const PublishRunOptions& options;
        std::vector<PublishAction>& actions;

        void finish(PublishAction outcome) const
        {
            run.finished = true;
            actions.push_back(std::move(outcome));
        }

        void refuse(LastReason reason, PublishConflict conflict = {}) const
        {
            finish(PublishRefused { .reason = std::move(reason), .conflict = std::move(conflict) });
        }

        void write() const
        {
            actions.emplace_back(WriteConfiguration { .image = run.plan->next, .ifObjectVersion = run.base->objectVersion });
        }

        void makePlan(const ConfigurationRead& read) const
        {
            if (run.plans++ >= options.maxAttempts) {
                refuse({ .code = ResultCode::VersionConflict, .detail = "other publishes kept getting in first" });
                return;
            }
            LastReason reason;
            run.plan = planPublish(read.image, run.request, options.plan, reason);
            run.base = read;
            if (!run.plan) {
                refuse(std::move(reason));
                return;
            }
            if (run.plan->changed.empty()) {
                finish(Published { .revision = read.image.revision, .changed = {} });
                return;
            }
            write();
        }

        void giveUp() const
        {
            if (run.writeUnanswered) {
                finish(PublishUnsettled { .publishId = run.request.publishId, .baseRevision = run.base->image.revision });
                return;
            }
            refuse({ .code = ResultCode::StoreUnavailable, .detail = "the store did not answer; nothing was written" });
        }

        void retryRead() const
        {
            ++run.failedAttempts;
            if (run.failedAttempts < options.maxAttempts) {
                actions.emplace_back(ReadConfiguration { .attempt = run.failedAttempts });
                return;
            }
            giveUp();
        }

        void replan(const ConfigurationRead& read) const
        {
            PublishConflict conflict = describeConflict(read.image, run.base->image.revision, run.request);
            if (conflict.mayReplan()) {
                makePlan(read);
                return;
            }
            refuse({ .code = ResultCode::VersionConflict, .detail = "another publish was first" }, std::move(conflict));
        }

        void settle(const ConfigurationRead& read) const
        {
            const PublishSettlement settlement = settlePublish(read.image, run.request.publishId, run.base->image.revision);
            switch (settlement) {
            case PublishSettlement::TookEffect:
                finish(Published { .revision = run.plan->next.revision, .changed = run.plan->changed });
                return;
            case PublishSettlement::Pending:
                // Repeating the same conditional write is safe: at most one of the two can take effect.
                if (++run.failedAttempts >= options.maxAttempts) {
                    giveUp();
                } else {
                    write();
                }
                return;
            case PublishSettlement::NeverTookEffect:
                replan(read);
                return;
            case PublishSettlement::Unknown:
                finish(PublishUnsettled { .publishId = run.request.publishId, .baseRevision = run.base->image.revision });
                return;
            }
        }

        void operator()(const ConfigurationRead& read) const
        {
            if (run.plan) {
                settle(read);
            } else {
                makePlan(read);
            }
        }

        void operator()(const ConfigurationReadFailed&) const { retryRead(); }

        void operator()(const ConfigurationWritten&) const
        {
            finish(Published { .revision = run.plan->next.revision, .changed = run.plan->changed });
        }

        void operator()(const ConfigurationWriteRefused&) const
        {
            // An earlier write of this run may be what changed the version, so the object is read before a verdict.
            actions.emplace_back(ReadConfiguration { .attempt = run.failedAttempts });
        }

        void operator()(const ConfigurationWriteUnanswered&) const
        {
            run.writeUnanswered = true;
            retryRead();
        }
    };

} // namespace

void start(PublishRun& run, std::vector<PublishAction>& actions)
{
    run.failedAttempts = 0;
    actions.emplace_back(ReadConfiguration {});
}

void step(PublishRun& run, const PublishRunOptions& options, const PublishEvent& event, std::vector<PublishAction>& actions)
{
    if (!run.finished) {
        std::visit(Stepper { run, options, actions }, event);
    }
}

} // namespace siskinspread
