#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace siskinspread::standin {

/** Values above this size are refused. */
constexpr size_t maxObjectSize = size_t { 1024 } * 1024;

struct StoredObject {
    std::string value;
    uint64_t version { 0 };
};

/** The condition of a write: the object's version, or 0 when the object must be absent. */
struct WriteCondition {
    uint64_t version { 0 };
};

/** Outcome of a conditional write. */
struct WriteOutcome {
    bool applied { false };
    uint64_t version { 0 }; /**< The new version; on a conflict the current one, 0 when absent. */
};

/** All objects, ordered by name. Versions increase over the whole store, also past a deletion. */
struct ObjectStore {
    std::map<std::string, StoredObject> objects;
    uint64_t lastVersion { 0 };
};

struct ListedObject {
    std::string name;
    uint64_t version { 0 };
};

std::optional<StoredObject> read(const ObjectStore& store, const std::string& name);

WriteOutcome write(ObjectStore& store, const std::string& name, std::string value, WriteCondition condition);

WriteOutcome remove(ObjectStore& store, const std::string& name, WriteCondition condition);

/** @return at most `limit` objects whose names start with `prefix` and follow `after`, ordered by name. */
std::vector<ListedObject> list(const ObjectStore& store, const std::string& prefix, const std::string& after, size_t limit);

} // namespace siskinspread::standin
