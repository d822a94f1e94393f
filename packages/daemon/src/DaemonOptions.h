#pragma once

#include "siskinspread/CloudApi.h"
#include "siskinspread/HeartbeatChannel.h"
#include "siskinspread/HttpServer.h"
#include "siskinspread/Ids.h"
#include "siskinspread/Log.h"
#include "siskinspread/ObjectApi.h"
#include "siskinspread/ResultCode.h"

#include "settings.pb.h"

#include <cstdint>
#include <string>

namespace siskinspread {

// What the parts of the daemon are started with, from the settings. All of these are reentrant.

/** @return a seed from the system's random device. */
uint64_t drawSeed();

/** @return a new incarnation of a host: its name and 16 random hexadecimal digits. */
IncarnationId drawIncarnation(const std::string& host);

ObjectApiOptions storeOptions(const schema::PlatformSettings&);
CloudApiOptions cloudOptions(const schema::PlatformSettings&);
HttpServerOptions peerOptions(const schema::Settings&);
HeartbeatChannelOptions heartbeatOptions(const schema::Settings&);

/** @return what this host names itself by in its requests to backend servers. */
std::string userAgent(const schema::Settings&);
LogLevel logLevel(schema::LogSettings::Level);

/** @return the result code of a request that the server refused before it was whole. */
ResultCode resultOf(ServerRefusal);

} // namespace siskinspread
