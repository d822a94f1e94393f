#pragma once

#include "siskinspread/Time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace siskinspread {

/** What a replica says of its load in an answer. */
struct ReportedLoad {
    uint32_t running { 0 };
    uint32_t waiting { 0 };
    uint32_t slots { 0 };
    std::optional<double> workFactor; /**< How long work takes on its machine at this moment; 1.0 as usual for the service. */
};

/** How long work takes at one replica, from its own reports and from those that other hosts have seen. */
struct WorkFactorEstimate {
    bool isKnown { false };
    double usual { 1.0 }; /**< Outside the spells in which its machine is busy with other work. */
    double latest { 1.0 };
    MonotonicTime latestAt {};
};

struct WorkFactorOptions {
    double least { 0.05 };
    double most { 50.0 }; /**< Reports outside this range are not believed. */
    /**
     * The usual factor follows a lower report faster than a higher one, so that it settles near the lower end: a machine that is shared is
     * slower at times, never faster.
     */
    double fall { 0.5 };
    double rise { 0.05 };
    double toldWeight { 0.2 }; /**< Of what another host tells. */
    std::chrono::milliseconds spell { 400 }; /**< After which most of a deviation from the usual factor is forgotten. */
};

/** Notes what an answer of the replica said. @return whether it was believed. Thread safety: safe while no other thread uses `estimate`. */
bool noteWorkFactor(WorkFactorEstimate& estimate, const WorkFactorOptions&, double factor, MonotonicTime now);

/** Notes the usual factor that another host has told. @return whether it was believed. Thread safety: as noteWorkFactor. */
bool noteToldWorkFactor(WorkFactorEstimate& estimate, const WorkFactorOptions&, double usual);

/**
 * @return by how much predicted times at the replica are multiplied: the latest report, which gives way to the usual factor as it ages;
 * 1.0 where nothing is known. Thread safety: const.
 */
double workFactorAt(const WorkFactorEstimate& estimate, const WorkFactorOptions&, MonotonicTime now);

} // namespace siskinspread
