#pragma once

#include "siskinspread/HttpClient.h"
#include "siskinspread/LastReason.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace siskinspread {

/** One object of the platform's object API. */
struct StoredObject {
    std::string name;
    uint64_t version { 0 };
    std::string value;
};

/** Where the object API is and how long to wait for it. */
struct ObjectApiOptions {
    std::string url; /**< http://IP:port */
    std::chrono::milliseconds timeout { 1000 };
    std::chrono::milliseconds watchTimeout { 20000 };
};

/** What a call to the object API came to. */
enum class StoreResult : uint8_t {
    Done, /**< Read, written or listed. */
    Absent, /**< There is no such object. */
    Conflict, /**< The condition of the write did not hold; nothing was written. */
    Unchanged, /**< A watch ended without a change. */
    NotDone, /**< The call had no effect: refused, or no byte was sent. */
    Unknown, /**< A write may have taken effect although its answer was lost. */
};

/**
 * Builds the calls of the object API. Each returns a transfer without an id; the caller sets it.
 * Thread safety: reentrant.
 */
StartTransfer readObject(const ObjectApiOptions&, std::string_view name);
/** Creates the object if it is absent. */
StartTransfer createObject(const ObjectApiOptions&, std::string_view name, std::string value);
/** Replaces the object if it still has this version. */
StartTransfer replaceObject(const ObjectApiOptions&, std::string_view name, uint64_t version, std::string value);
/** Waits until the object's version is above `after`, for watchTimeout at most. */
StartTransfer watchObject(const ObjectApiOptions&, std::string_view name, uint64_t after);
/** Lists the names that begin with `prefix` and come after `after`, in order. */
StartTransfer listObjects(const ObjectApiOptions&, std::string_view prefix, std::string_view after);

/** @return what an ended transfer of one of these calls came to; `write` for create and replace. Reentrant. */
StoreResult storeResult(const TransferEnded&, bool write);

/** @return the version in the answer of a read, watch or write that is Done; 0 when it has none. Reentrant. */
uint64_t storedVersion(const TransferEnded&);

/** @return the names in the answer of a list, or nothing with StoreUnavailable when it is malformed. Reentrant. */
std::optional<std::vector<std::string>> listedNames(const TransferEnded&, LastReason&);

} // namespace siskinspread
