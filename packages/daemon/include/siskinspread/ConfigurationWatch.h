#pragma once

#include "siskinspread/HostContext.h"
#include "siskinspread/ObjectApi.h"
#include "siskinspread/Timers.h"

#include "service.pb.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace siskinspread {

/** Name of the object that holds the configuration. */
constexpr const char* configurationObject = "configuration";

/** @return the configuration in its stored form, JSON. Thread safety: reentrant. */
std::string encodeConfiguration(const schema::Configuration&);

/** @return the configuration, or nothing with InvalidConfiguration when it is malformed or fails a check. Reentrant. */
std::optional<schema::Configuration> decodeConfiguration(std::string_view, LastReason&);

/**
 * Waits on the object "configuration" and passes on each content that it has. Thread safety: decide thread only.
 */
class ConfigurationWatch {
public:
    ConfigurationWatch(HostContext&, Timers&, ObjectApiOptions, std::function<void(const std::string& content)> onContent);

    /** Begins to wait; again and again from then on. */
    void start();

private:
    void onAnswer(const TransferEnded&);
    void waitAndStart(std::chrono::milliseconds);

    HostContext& m_context;
    Timers& m_timers;
    const ObjectApiOptions m_store;
    const std::function<void(const std::string&)> m_onContent;
    uint64_t m_version { 0 };
    uint32_t m_failures { 0 };
};

} // namespace siskinspread
