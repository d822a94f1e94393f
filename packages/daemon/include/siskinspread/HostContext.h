#pragma once

#include "siskinspread/HttpServer.h"
#include "siskinspread/Ids.h"
#include "siskinspread/Log.h"
#include "siskinspread/Metrics.h"
#include "siskinspread/Time.h"
#include "siskinspread/TransferRouter.h"

#include "settings.pb.h"

namespace siskinspread {

/** Sends responses of one HttpServer from the decide thread. The interface at which its mocks stand. */
class ResponseSink {
public:
    virtual ~ResponseSink() = default;
    virtual void send(ServerCommand&&) = 0;
};

/**
 * What every part on the decide thread needs: who this host is, the time of this turn of the loop, and the ways out.
 * `now` and `wall` are set once a turn, so that all decisions of a turn see the same time.
 */
struct HostContext {
    const schema::Settings& settings;
    IncarnationId incarnation;
    MonotonicTime now {};
    WallTime wall {};
    uint64_t seed { 0 }; /**< Changes with every use through nextSeed. */
    ResponseSink& callers;
    ResponseSink& peerCallers;
    TransferStarter& backendServers;
    TransferStarter& platform;
    TransferStarter& peers;
    Metrics& metrics;
    Log& log;
};

/** @return a number that differs from call to call, for jitter and ties; splitmix64 of a counter. */
inline uint64_t nextSeed(HostContext& context)
{
    uint64_t z = (context.seed += 0x9e3779b97f4a7c15ULL);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

} // namespace siskinspread
