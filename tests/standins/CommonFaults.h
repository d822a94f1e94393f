#pragma once

#include "EventLoop.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace siskinspread::standin {

/** Faults that every stand-in knows; calls under /control pass by them. */
struct CommonFaults {
    bool down { false }; /**< Connections are closed without an answer. */
    bool silent { false }; /**< Calls are accepted and never answered, and have no effect. */
    std::chrono::milliseconds delay { 0 }; /**< Each call waits this long before it takes effect. */
};

/**
 * Applies one member of the body of POST /control/faults: "down", "silent", "delay_ms" or "silence_open_connections".
 * @return false when the member is none of these.
 */
bool setCommonFault(CommonFaults& faults, EventLoop& loop, const std::string& name, const nlohmann::json& value);

/** Hands a call to `next`, at once or after the delay, unless a fault takes it. */
void passCommonFaults(const CommonFaults& faults, EventLoop& loop, const Responder& responder, std::function<void()> next);

/**
 * Applies every member of a body of POST /control/faults by `setFault` and answers 200.
 * Throws std::invalid_argument for a member that `setFault` does not know.
 */
void setFaults(const Call& call, const Responder& responder,
    const std::function<bool(const std::string& name, const nlohmann::json& value)>& setFault);

/** Answers with a JSON body. */
void sendJson(const Responder& responder, int status, const nlohmann::json& body, Headers headers = {});

/** Answers 503 with the header that says that the request was not run. */
void sendNotRun(const Responder& responder, const std::string& why);

/** Answers 503 with X-Not-Run and the instance that leaves in X-Leaving. */
void sendLeaving(const Responder& responder, const std::string& instance);

/** @return an id of this run of the stand-in, which differs from run to run. */
std::string drawInstance(const std::string& name);

} // namespace siskinspread::standin
