#include "DaemonOptions.h"

#include <cstdio>
#include <random>

namespace siskinspread {

namespace {

    // A request that is handed over comes with its answer so far.
    constexpr size_t answerBytes = 4U << 20;

} // namespace

uint64_t drawSeed()
{
    std::random_device device;
    return (static_cast<uint64_t>(device()) << 32) | device();
}

IncarnationId drawIncarnation(const std::string& host)
{
    char digits[20];
    std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(drawSeed()));
    return { host + "." + digits };
}

std::string userAgent(const schema::Settings& settings)
{
    return "siskinspread (" + settings.host().name() + ")";
}

ObjectApiOptions storeOptions(const schema::PlatformSettings& settings)
{
    return { .url = settings.object_api(), .timeout = std::chrono::milliseconds { settings.timeout_ms() } };
}

CloudApiOptions cloudOptions(const schema::PlatformSettings& settings)
{
    return { .url = settings.cloud_api(), .timeout = std::chrono::milliseconds { settings.timeout_ms() } };
}

HttpServerOptions peerOptions(const schema::Settings& settings)
{
    return { .address = settings.listen().address(), .port = static_cast<uint16_t>(settings.listen().peer_port()), .maxBodyBytes = size_t { 2 } * settings.limits().max_body_bytes() + answerBytes };
}

ResultCode resultOf(ServerRefusal refusal)
{
    switch (refusal) {
    case ServerRefusal::BodyTooLarge:
        return ResultCode::BodyTooLarge;
    case ServerRefusal::SenderTooSlow:
        return ResultCode::SenderTooSlow;
    case ServerRefusal::Malformed:
        break;
    }
    return ResultCode::MalformedRequest;
}

HeartbeatChannelOptions heartbeatOptions(const schema::Settings& settings)
{
    return { .address = settings.listen().address(), .port = static_cast<uint16_t>(settings.listen().heartbeat_port()), .ringCapacity = settings.limits().ring_capacity() };
}

LogLevel logLevel(schema::LogSettings::Level level)
{
    switch (level) {
    case schema::LogSettings::DEBUG:
        return LogLevel::Debug;
    case schema::LogSettings::WARNING:
        return LogLevel::Warning;
    case schema::LogSettings::ERROR:
        return LogLevel::Error;
    default:
        return LogLevel::Info;
    }
}

} // namespace siskinspread
