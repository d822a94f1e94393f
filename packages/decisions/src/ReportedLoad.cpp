#include "siskinspread/ReportedLoad.h"

#include <algorithm>
#include <cmath>

namespace siskinspread {

namespace {

    bool isBelievable(double factor, const WorkFactorOptions& options)
    {
        return std::isfinite(factor) && factor >= options.least && factor <= options.most;
    }

} // namespace

bool noteWorkFactor(WorkFactorEstimate& estimate, const WorkFactorOptions& options, double factor, MonotonicTime now)
{
    if (!isBelievable(factor, options)) {
        return false;
    }
    const double weight = factor < estimate.usual ? options.fall : options.rise;
    estimate.usual = estimate.isKnown ? estimate.usual + (factor - estimate.usual) * weight : factor;
    estimate.isKnown = true;
    estimate.latest = factor;
    estimate.latestAt = now;
    return true;
}

bool noteToldWorkFactor(WorkFactorEstimate& estimate, const WorkFactorOptions& options, double usual)
{
    if (!isBelievable(usual, options)) {
        return false;
    }
    if (!estimate.isKnown) {
        estimate = { .isKnown = true, .usual = usual, .latest = usual };
        return true;
    }
    estimate.usual += (usual - estimate.usual) * options.toldWeight;
    return true;
}

double workFactorAt(const WorkFactorEstimate& estimate, const WorkFactorOptions& options, MonotonicTime now)
{
    if (!estimate.isKnown) {
        return 1.0;
    }
    const double age = std::chrono::duration<double>(now - estimate.latestAt).count() / std::chrono::duration<double>(options.spell).count();
    return estimate.usual + (estimate.latest - estimate.usual) * std::exp(-std::max(0.0, age));
}

} // namespace siskinspread
