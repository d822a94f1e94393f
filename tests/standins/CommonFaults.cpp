#include "CommonFaults.h"

#include <cstdio>
#include <random>
#include <stdexcept>
#include <utility>

namespace siskinspread::standin {

bool setCommonFault(CommonFaults& faults, EventLoop& loop, const std::string& name, const nlohmann::json& value)
{
    if (name == "down") {
        faults.down = value.get<bool>();
    } else if (name == "silent") {
        faults.silent = value.get<bool>();
    } else if (name == "delay_ms") {
        faults.delay = std::chrono::milliseconds(value.get<int64_t>());
    } else if (name == "silence_open_connections") {
        if (value.get<bool>()) {
            loop.silenceOpenConnections();
        }
    } else {
        return false;
    }
    return true;
}

void passCommonFaults(const CommonFaults& faults, EventLoop& loop, const Responder& responder, std::function<void()> next)
{
    if (faults.down) {
        responder.closeConnection();
    } else if (faults.silent) {
        return;
    } else if (faults.delay.count() > 0) {
        loop.after(faults.delay, std::move(next));
    } else {
        next();
    }
}

void setFaults(const Call& call, const Responder& responder,
    const std::function<bool(const std::string& name, const nlohmann::json& value)>& setFault)
{
    const auto body = nlohmann::json::parse(call.body);
    for (const auto& [name, value] : body.items()) {
        if (!setFault(name, value)) {
            throw std::invalid_argument("unknown fault: " + name);
        }
    }
    sendJson(responder, 200, nlohmann::json::object());
}

void sendJson(const Responder& responder, int status, const nlohmann::json& body, Headers headers)
{
    headers.emplace("Content-Type", "application/json");
    responder.send(status, body.dump(), headers);
}

void sendNotRun(const Responder& responder, const std::string& why)
{
    sendJson(responder, 503, { { "error", why } }, { { "X-Not-Run", "true" } });
}

void sendLeaving(const Responder& responder, const std::string& instance)
{
    sendJson(responder, 503, { { "error", "leaving" } }, { { "X-Not-Run", "true" }, { "X-Leaving", instance } });
}

std::string drawInstance(const std::string& name)
{
    std::random_device device;
    char digits[9];
    std::snprintf(digits, sizeof digits, "%08x", device());
    return name + "." + digits;
}

} // namespace siskinspread::standin
