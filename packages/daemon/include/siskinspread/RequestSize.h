#pragma once

#include "siskinspread/CallerResponse.h"
#include "siskinspread/HttpServer.h"

#include "settings.pb.h"

#include <optional>

namespace siskinspread {

/**
 * @return the options of the callers' server. Its own limits lie above those of the settings, since what it refuses
 * itself it can answer only while the connection still takes the response; what lies between is refused by
 * checkRequestSize in an ordinary response. Thread safety: reentrant.
 */
HttpServerOptions callerServerOptions(const schema::Settings&);

/** @return why a request is too large for the settings, or nothing. Thread safety: reentrant. */
std::optional<Refusal> checkRequestSize(const schema::LimitSettings&, const IncomingRequest&);

} // namespace siskinspread
