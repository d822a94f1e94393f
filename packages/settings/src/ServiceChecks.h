#pragma once

#include "ProblemCollector.h"

#include "service.pb.h"

namespace siskinspread {

/**
 * Reports contradictions inside one service, whose defaults have been filled in.
 * @param key the key of the service in its document, for example "services[0]".
 * Thread safety: reentrant.
 */
void checkService(const schema::Service& service, const std::string& key, ProblemCollector& problems);

} // namespace siskinspread
