#include "ObjectStore.h"

#include <algorithm>
#include <utility>

namespace siskinspread::standin {
namespace {

    uint64_t currentVersion(const ObjectStore& store, const std::string& name)
    {
        auto found = store.objects.find(name);
        return found == store.objects.end() ? 0 : found->second.version;
    }

} // namespace

std::optional<StoredObject> read(const ObjectStore& store, const std::string& name)
{
    auto found = store.objects.find(name);
    if (found == store.objects.end()) {
        return std::nullopt;
    }
    return found->second;
}

WriteOutcome write(ObjectStore& store, const std::string& name, std::string value, WriteCondition condition)
{
    const uint64_t current = currentVersion(store, name);
    if (current != condition.version) {
        return { .applied = false, .version = current };
    }
    const uint64_t version = ++store.lastVersion;
    store.objects[name] = { .value = std::move(value), .version = version };
    return { .applied = true, .version = version };
}

WriteOutcome remove(ObjectStore& store, const std::string& name, WriteCondition condition)
{
    const uint64_t current = currentVersion(store, name);
    if (current == 0 || current != condition.version) {
        return { .applied = false, .version = current };
    }
    store.objects.erase(name);
    return { .applied = true, .version = ++store.lastVersion };
}

std::vector<ListedObject> list(const ObjectStore& store, const std::string& prefix, const std::string& after, size_t limit)
{
    std::vector<ListedObject> listed;
    auto object = after < prefix ? store.objects.lower_bound(prefix) : store.objects.upper_bound(after);
    for (; object != store.objects.end() && object->first.starts_with(prefix) && listed.size() < limit; ++object) {
        listed.push_back({ .name = object->first, .version = object->second.version });
    }
    return listed;
}

} // namespace siskinspread::standin
