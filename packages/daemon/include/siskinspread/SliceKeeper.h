#pragma once

#include "siskinspread/HostContext.h"
#include "siskinspread/LogCloser.h"
#include "siskinspread/ObjectApi.h"
#include "siskinspread/OwnerDesk.h"
#include "siskinspread/PeerDirectory.h"
#include "siskinspread/SliceMap.h"
#include "siskinspread/Timers.h"

#include <set>

namespace siskinspread {

/** Name of the object that holds the slice map. */
constexpr const char* slicesObject = "slices";

/**
 * Keeps the slice map: watches it, takes over slices whose owner has ended, and opens a slice at the desk only when the
 * logs of all its previous owners are closed and read. Thread safety: decide thread only.
 */
class SliceKeeper {
public:
    struct Parts {
        Timers& timers;
        PeerDirectory& peers;
        LogCloser& closer;
        OwnerDesk& desk;
    };

    SliceKeeper(HostContext&, Parts, ObjectApiOptions);

    /** Begins to watch the map. */
    void start();

    /** Gives up all slices: requests in progress go on, nothing new is accepted, nothing is taken any more. */
    void release();

    /** @return the owner of the key's slice and those before it, newest first; empty while the map is not known. */
    std::vector<IncarnationId> ownersOfKey(const IdempotencyKey&) const;

    /** @return whether each slice has an owner that is not held to have ended. */
    bool isSettled() const;

private:
    void watch();
    void onWatchAnswer(const TransferEnded&);
    void review();
    std::set<IncarnationId> owners() const;
    void createMap();
    void takeOver();
    void writeMoves(const std::vector<SliceMove>&);
    void openOwnSlices();
    void openSlice(uint32_t slice);
    std::vector<SliceOwnerCandidate> failureDomains() const;

    HostContext& m_context;
    Parts m_parts;
    const ObjectApiOptions m_store;
    SliceMap m_map;
    uint64_t m_version { 0 };
    uint32_t m_failures { 0 };
    bool m_known { false }; /**< The map has been read, or found absent. */
    bool m_writing { false };
    bool m_released { false };
    std::set<uint32_t> m_opening;
};

} // namespace siskinspread
