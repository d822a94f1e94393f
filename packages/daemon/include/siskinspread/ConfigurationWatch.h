#pragma once

#include "siskinspread/ConfigurationFeed.h"
#include "siskinspread/HostContext.h"
#include "siskinspread/ObjectApi.h"

#include <functional>
#include <string>

namespace siskinspread {

/** @return the stored bytes as the feed takes them, decoded and checked. Thread safety: reentrant. */
ConfigurationDocument configurationDocument(std::string body);

/**
 * Reads the object "configuration" and waits on it, one call at a time. Each call ends in one event: StoreAnswered,
 * StoreUnchanged or StoreCallFailed. Thread safety: decide thread only.
 */
class ConfigurationWatch {
public:
    ConfigurationWatch(HostContext&, ObjectApiOptions, std::function<void(const FeedEvent&)> onEvent);

    /** Begins a call; its event never comes before this returns. */
    void start(const WatchStore&);

private:
    void onAnswer(const TransferEnded&);

    HostContext& m_context;
    const ObjectApiOptions m_store;
    const std::function<void(const FeedEvent&)> m_onEvent;
    uint64_t m_version { 0 }; /**< Of the object as it was last answered here. */
};

} // namespace siskinspread
