#pragma once

#include "siskinspread/BackendServerStatus.h"

/** @file Internal: what a host shares of the backend servers that it observes. Thread safety of all: safe while no other thread uses the arguments. */

namespace siskinspread {

/** @return how many hosts observe a server. */
uint32_t observerCount(const BackendServerStatusState& state, const ServerStatusOptions& options);

/** Shares what this host observes of these servers; a change goes to the other failure domains as well. */
void shareObservations(BackendServerStatusState& state, const ServerStatusOptions& options, const std::vector<const ServerState*>& servers, bool isChange, std::vector<ServerAction>& actions);

/** Shares what this host observes of all servers with its failure domain. */
void shareAll(BackendServerStatusState& state, const ServerStatusOptions& options, std::vector<ServerAction>& actions);

/** Sends what this host knows to one host of its failure domain and to one of another. */
void gossip(BackendServerStatusState& state, const ServerStatusOptions& options, MonotonicTime now, std::vector<ServerAction>& actions);

} // namespace siskinspread
