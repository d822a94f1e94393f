#include "siskinspread/ConnectionShedding.h"

namespace siskinspread {

namespace {

    template <typename Eligible>
    std::optional<size_t> longestWithoutProgress(std::span<const SheddingCandidate> candidates, Eligible eligible)
    {
        std::optional<size_t> chosen;
        for (size_t index = 0; index < candidates.size(); ++index) {
            if (eligible(candidates[index]) && (!chosen || candidates[index].lastProgress < candidates[*chosen].lastProgress)) {
                chosen = index;
            }
        }
        return chosen;
    }

} // namespace

std::optional<size_t> shedForConnection(std::span<const SheddingCandidate> candidates)
{
    if (auto unused = longestWithoutProgress(candidates, [](const auto& candidate) { return candidate.stage == CallerStage::NoRequestYet; })) {
        return unused;
    }
    return longestWithoutProgress(candidates, [](const auto& candidate) { return candidate.stage != CallerStage::InProgress; });
}

std::optional<size_t> shedForMemory(std::span<const SheddingCandidate> candidates)
{
    return longestWithoutProgress(candidates, [](const auto& candidate) { return candidate.stage != CallerStage::InProgress && candidate.unreservedBytes > 0; });
}

std::optional<size_t> shedForLargeBody(std::span<const SheddingCandidate> candidates, const SheddingOptions& options, MonotonicTime now)
{
    return longestWithoutProgress(candidates, [&](const auto& candidate) {
        return candidate.stage == CallerStage::ReadingRequest && candidate.heldBytes > 0 && now - candidate.lastProgress >= options.stalledAfter;
    });
}

} // namespace siskinspread
